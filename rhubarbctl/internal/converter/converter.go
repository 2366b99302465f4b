// Package converter turns messages of the schema into rows, and words of the command line into values of the schema.
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

// Kinds of configuration objects.
const (
	Service       = rhubarbtrackv1.ResourceKind_RESOURCE_KIND_SERVICE
	Upstream      = rhubarbtrackv1.ResourceKind_RESOURCE_KIND_UPSTREAM
	FailureDomain = rhubarbtrackv1.ResourceKind_RESOURCE_KIND_FAILURE_DOMAIN
	Window        = rhubarbtrackv1.ResourceKind_RESOURCE_KIND_WINDOW
)

// AnyMethod stands for every method in the text of a rule.
const AnyMethod = "*"

var originFields = []string{"version", "writer", "operation-id"}

// Fields of the kinds, in the order of rows, without those of the last write.
var fields = []struct {
	kind  rhubarbtrackv1.ResourceKind
	names []string
}{
	{Service, []string{"name", "keyed", "key-header", "key-segment", "slice-count", "rules"}},
	{Upstream, []string{"name", "service", "failure-domain", "address", "slots", "connections", "checks-fence", "drained"}},
	{FailureDomain, []string{"name", "taken-out"}},
	{Window, []string{"name", "failure-domain", "weekday", "start", "length-minutes", "time-zone"}},
}

// Fields returns the fields of a kind without those of the last write.
func Fields(kind rhubarbtrackv1.ResourceKind) []string {
	for _, entry := range fields {
		if entry.kind == kind {
			return entry.names
		}
	}
	return nil
}

// Table returns the table of resources of one kind.
func Table(kind rhubarbtrackv1.ResourceKind, resources []*rhubarbtrackv1.Resource) printer.Table {
	table := printer.Table{Fields: append(append([]string{}, Fields(kind)...), originFields...)}
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

// Kind returns the kind of a resource.
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

// Name returns the name by which a resource is requested: "<service>.<name>" for an upstream.
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

// KindName returns the name of a kind in kebab case: "failure-domain".
func KindName(kind rhubarbtrackv1.ResourceKind) string {
	return EnumName(kind, "RESOURCE_KIND_")
}

// EnumName returns the name of an enumeration's value in kebab case, without the prefix of the enumeration.
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

// ParseRule reads "METHOD PATH CLASS", where the method may be AnyMethod.
func ParseRule(text string) (*rhubarbtrackv1.Rule, error) {
	words := strings.Fields(text)
	if len(words) != 3 {
		return nil, reporter.Errorf("rule", reporter.CodeUsage, "%q is not METHOD PATH CLASS", text)
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

// ParseClass reads the name of a class.
func ParseClass(name string) (rhubarbtrackv1.Class, error) {
	key := "CLASS_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	number, ok := rhubarbtrackv1.Class_value[key]
	if !ok || number == 0 {
		return 0, reporter.Errorf("class", reporter.CodeUsage, "%q is none of safe, idempotent, never-repeat", name)
	}
	return rhubarbtrackv1.Class(number), nil
}

// ParseWeekday reads the English name of a weekday in lower case.
func ParseWeekday(name string) (rhubarbtrackv1.Weekday, error) {
	number, ok := rhubarbtrackv1.Weekday_value["WEEKDAY_"+strings.ToUpper(name)]
	if !ok || number == 0 {
		return 0, reporter.Errorf("weekday", reporter.CodeUsage, "%q is not a weekday", name)
	}
	return rhubarbtrackv1.Weekday(number), nil
}
