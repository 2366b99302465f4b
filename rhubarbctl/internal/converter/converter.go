// Package converter converts messages of the schema to table rows, and command-line arguments to values of the schema.
//
// # Usage
//
//	table := converter.Table(rhubarbtrackv1.ResourceKind_RESOURCE_KIND_SERVICE, response.GetResources())
package converter

import (
	"fmt"
	"strings"

	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// Kinds of configuration objects, under short names.
const (
	Service       = rhubarbtrackv1.ResourceKind_RESOURCE_KIND_SERVICE
	Upstream      = rhubarbtrackv1.ResourceKind_RESOURCE_KIND_UPSTREAM
	FailureDomain = rhubarbtrackv1.ResourceKind_RESOURCE_KIND_FAILURE_DOMAIN
	Window        = rhubarbtrackv1.ResourceKind_RESOURCE_KIND_WINDOW
)

// AnyMethod matches every method in the text form of a rule. The schema represents it by an empty method.
const AnyMethod = "*"

var lastWriteFields = []string{"version", "writer", "operation-id"}

// Fields of each kind, in the order of Row, without lastWriteFields.
var fields = []struct {
	kind  rhubarbtrackv1.ResourceKind
	names []string
}{
	{Service, []string{"name", "keyed", "key-header", "key-segment", "slice-count", "rules"}},
	{Upstream, []string{"name", "service", "failure-domain", "address", "slots", "connections", "checks-fence", "drained"}},
	{FailureDomain, []string{"name", "taken-out"}},
	{Window, []string{"name", "failure-domain", "weekday", "start", "length-minutes", "time-zone"}},
}

// Fields returns the field names of a kind, in the order of Row and without version, writer and operation-id.
func Fields(kind rhubarbtrackv1.ResourceKind) []string {
	for _, entry := range fields {
		if entry.kind == kind {
			return entry.names
		}
	}
	return nil
}

// Table returns a table of resources of one kind, with the version, writer and operation ID of their last write.
func Table(kind rhubarbtrackv1.ResourceKind, resources []*rhubarbtrackv1.Resource) printer.Table {
	table := printer.Table{Fields: append(append([]string{}, Fields(kind)...), lastWriteFields...)}
	for _, resource := range resources {
		row := append(Row(resource), resource.GetVersion(), resource.GetWriter(), resource.GetOperationId())
		table.Rows = append(table.Rows, row)
	}
	return table
}

// Row returns the values of a resource in the order of Fields.
func Row(resource *rhubarbtrackv1.Resource) []any {
	switch value := resource.GetValue().(type) {
	case *rhubarbtrackv1.Resource_Service:
		s := value.Service
		return []any{s.GetName(), s.GetKeyed(), s.GetKeyHeader(), s.GetKeySegment(), s.GetSliceCount(), ruleTexts(s.GetRules())}
	case *rhubarbtrackv1.Resource_Upstream:
		u := value.Upstream
		return []any{
			u.GetName(), u.GetService(), u.GetFailureDomain(), u.GetAddress(), u.GetSlots(), u.GetConnections(),
			u.GetChecksFence(), u.GetDrained(),
		}
	case *rhubarbtrackv1.Resource_FailureDomain:
		return []any{value.FailureDomain.GetName(), value.FailureDomain.GetTakenOut()}
	case *rhubarbtrackv1.Resource_Window:
		w := value.Window
		return []any{
			w.GetName(), w.GetFailureDomain(), EnumName(w.GetWeekday(), "WEEKDAY_"), w.GetStart(), w.GetLengthMinutes(),
			w.GetTimeZone(),
		}
	}
	return nil
}

// Kind returns the kind of a resource, RESOURCE_KIND_UNSPECIFIED if it has no value.
func Kind(resource *rhubarbtrackv1.Resource) rhubarbtrackv1.ResourceKind {
	switch resource.GetValue().(type) {
	case *rhubarbtrackv1.Resource_Service:
		return Service
	case *rhubarbtrackv1.Resource_Upstream:
		return Upstream
	case *rhubarbtrackv1.Resource_FailureDomain:
		return FailureDomain
	case *rhubarbtrackv1.Resource_Window:
		return Window
	}
	return rhubarbtrackv1.ResourceKind_RESOURCE_KIND_UNSPECIFIED
}

// Name returns the name that identifies a resource in requests: "<service>.<name>" for an upstream.
func Name(resource *rhubarbtrackv1.Resource) string {
	switch value := resource.GetValue().(type) {
	case *rhubarbtrackv1.Resource_Service:
		return value.Service.GetName()
	case *rhubarbtrackv1.Resource_Upstream:
		return value.Upstream.GetService() + "." + value.Upstream.GetName()
	case *rhubarbtrackv1.Resource_FailureDomain:
		return value.FailureDomain.GetName()
	case *rhubarbtrackv1.Resource_Window:
		return value.Window.GetName()
	}
	return ""
}

// KindName returns the name of a kind in kebab case, for example "failure-domain".
func KindName(kind rhubarbtrackv1.ResourceKind) string {
	return EnumName(kind, "RESOURCE_KIND_")
}

// EnumName returns the name of an enum value in kebab case, without the prefix of the enum.
func EnumName(value fmt.Stringer, prefix string) string {
	name := strings.ToLower(strings.TrimPrefix(value.String(), prefix))
	return strings.ReplaceAll(name, "_", "-")
}

func ruleTexts(rules []*rhubarbtrackv1.Rule) []string {
	texts := []string{}
	for _, rule := range rules {
		method := rule.GetMethod()
		if method == "" {
			method = AnyMethod
		}
		texts = append(texts, strings.Join([]string{method, rule.GetPath(), EnumName(rule.GetClass(), "CLASS_")}, " "))
	}
	return texts
}

// ParseRule parses "METHOD PATH CLASS", where the method may be AnyMethod.
func ParseRule(text string) (*rhubarbtrackv1.Rule, error) {
	words := strings.Fields(text)
	if len(words) != 3 {
		return nil, reporter.Errorf("parse rule", reporter.CodeUsage, "want METHOD PATH CLASS, got %q", text)
	}
	class, err := ParseClass(words[2])
	if err != nil {
		return nil, err
	}
	rule := &rhubarbtrackv1.Rule{Method: words[0], Path: words[1], Class: class}
	if rule.Method == AnyMethod {
		rule.Method = ""
	}
	return rule, nil
}

// ParseClass parses the name of a class in kebab case.
func ParseClass(name string) (rhubarbtrackv1.Class, error) {
	key := "CLASS_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	number, ok := rhubarbtrackv1.Class_value[key]
	if !ok || number == 0 {
		return 0, reporter.Errorf("parse class", reporter.CodeUsage, "want safe, idempotent or never-repeat, got %q", name)
	}
	return rhubarbtrackv1.Class(number), nil
}

// ParseWeekday parses the English name of a weekday.
func ParseWeekday(name string) (rhubarbtrackv1.Weekday, error) {
	number, ok := rhubarbtrackv1.Weekday_value["WEEKDAY_"+strings.ToUpper(name)]
	if !ok || number == 0 {
		return 0, reporter.Errorf("parse weekday", reporter.CodeUsage, "want an English weekday, got %q", name)
	}
	return rhubarbtrackv1.Weekday(number), nil
}
