package apply

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/encoder"
	"rhubarbtrack.example/rhubarbctl/internal/converter"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// entry is one object of a file with the fields of stored objects.
type entry map[string]any

// file is a file of objects.
type file struct {
	FailureDomains []entry `yaml:"failure-domains"`
	Services       []entry `yaml:"services"`
	Upstreams      []entry `yaml:"upstreams"`
	Windows        []entry `yaml:"windows"`
}

// desired is one object that the file asks for.
type desired struct {
	resource *rhubarbtrackv1.Resource
	drained  bool // the file says whether the upstream is drained
	takenOut bool // the file says whether the failure domain is taken out
}

// parse reads a file. Objects that others refer to come first.
func parse(body []byte) ([]desired, error) {
	var content file
	if err := yaml.UnmarshalWithOptions(body, &content, yaml.Strict()); err != nil {
		return nil, reporter.Errorf("file", reporter.CodeUsage, "%v", err)
	}
	groups := []struct {
		prefix  string
		entries []entry
	}{
		{configurator.FailureDomainPrefix, content.FailureDomains},
		{configurator.ServicePrefix, content.Services},
		{configurator.UpstreamPrefix, content.Upstreams},
		{configurator.WindowPrefix, content.Windows},
	}
	var all []desired
	known := map[string]bool{}
	for _, group := range groups {
		for _, entry := range group.entries {
			value, err := entry.value(group.prefix)
			if err != nil {
				return nil, err
			}
			if known[value.ObjectName()] {
				return nil, reporter.Errorf("file", reporter.CodeUsage, "%s occurs twice", value.ObjectName())
			}
			known[value.ObjectName()] = true
			_, drained := entry["drained"]
			_, takenOut := entry["taken-out"]
			all = append(all, desired{resource: resourceOf(value), drained: drained, takenOut: takenOut})
		}
	}
	return all, nil
}

// value reads an entry by the codec of stored objects, which refuses unknown fields, and validates it.
func (e entry) value(prefix string) (configurator.Value, error) {
	body, err := json.Marshal(e)
	if err != nil {
		return nil, reporter.Errorf("file", reporter.CodeUsage, "%v", err)
	}
	name := fmt.Sprint(e["name"])
	value, _, err := encoder.Decode(prefix+name, body)
	if err == nil {
		err = value.Validate()
	}
	if err != nil {
		label := strings.TrimPrefix(prefix, configurator.Prefix) + name
		return nil, reporter.Errorf("file", reporter.CodeUsage, "%s: %v", label, err)
	}
	return value, nil
}

func resourceOf(value configurator.Value) *rhubarbtrackv1.Resource {
	switch typed := value.(type) {
	case configurator.Service:
		return &rhubarbtrackv1.Resource{Value: &rhubarbtrackv1.Resource_Service{Service: serviceOf(typed)}}
	case configurator.Upstream:
		return &rhubarbtrackv1.Resource{Value: &rhubarbtrackv1.Resource_Upstream{Upstream: upstreamOf(typed)}}
	case configurator.FailureDomain:
		domain := &rhubarbtrackv1.FailureDomain{Name: typed.Name, TakenOut: typed.TakenOut}
		return &rhubarbtrackv1.Resource{Value: &rhubarbtrackv1.Resource_FailureDomain{FailureDomain: domain}}
	case configurator.Window:
		return &rhubarbtrackv1.Resource{Value: &rhubarbtrackv1.Resource_Window{Window: windowOf(typed)}}
	}
	return &rhubarbtrackv1.Resource{}
}

func serviceOf(service configurator.Service) *rhubarbtrackv1.Service {
	message := &rhubarbtrackv1.Service{
		Name:       service.Name,
		Keyed:      service.Keyed,
		KeyHeader:  service.KeyHeader,
		KeySegment: count(service.KeySegment),
		SliceCount: count(service.SliceCount),
	}
	for _, rule := range service.Rules {
		class, _ := converter.ParseClass(encoder.ClassName(rule.Class))
		message.Rules = append(message.Rules, &rhubarbtrackv1.Rule{Method: rule.Method, Path: rule.Path, Class: class})
	}
	return message
}

func upstreamOf(upstream configurator.Upstream) *rhubarbtrackv1.Upstream {
	return &rhubarbtrackv1.Upstream{
		Name:          upstream.Name,
		Service:       upstream.Service,
		FailureDomain: upstream.FailureDomain,
		Address:       upstream.Address,
		Slots:         count(upstream.Slots),
		Connections:   count(upstream.Connections),
		ChecksFence:   upstream.ChecksFence,
		Drained:       upstream.Drained,
	}
}

func windowOf(window configurator.Window) *rhubarbtrackv1.Window {
	weekday, _ := converter.ParseWeekday(strings.ToLower(window.Weekday.String()))
	return &rhubarbtrackv1.Window{
		Name:          window.Name,
		FailureDomain: window.FailureDomain,
		Weekday:       weekday,
		Start:         encoder.FormatStart(window.Start),
		LengthMinutes: count(int(window.Length / time.Minute)),
		TimeZone:      window.TimeZone,
	}
}

// count presents a number of a valid value, which is never negative.
func count(number int) uint32 {
	return uint32(min(max(number, 0), math.MaxUint32))
}
