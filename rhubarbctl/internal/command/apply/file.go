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

// entry is one object of a file. Its fields are those of the stored form.
type entry map[string]any

// file is the content of the YAML file.
type file struct {
	FailureDomains []entry `yaml:"failure-domains"`
	Services       []entry `yaml:"services"`
	Upstreams      []entry `yaml:"upstreams"`
	Windows        []entry `yaml:"windows"`
}

// desired is the desired state of one object.
type desired struct {
	resource     *rhubarbtrackv1.Resource
	setsDrained  bool // the file sets the field "drained" of the upstream
	setsTakenOut bool // the file sets the field "taken-out" of the failure domain
}

// parse parses a file. It returns referenced objects before the objects that refer to them.
func parse(body []byte) ([]desired, error) {
	var content file
	if err := yaml.UnmarshalWithOptions(body, &content, yaml.Strict()); err != nil {
		return nil, reporter.Errorf("parse file", reporter.CodeUsage, "%v", err)
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
	seen := map[string]bool{}
	for _, group := range groups {
		for _, entry := range group.entries {
			value, err := entry.decode(group.prefix)
			if err != nil {
				return nil, err
			}
			if seen[value.ObjectName()] {
				return nil, reporter.Errorf("parse file", reporter.CodeUsage, "duplicate object %s", value.ObjectName())
			}
			seen[value.ObjectName()] = true
			_, drained := entry["drained"]
			_, takenOut := entry["taken-out"]
			all = append(all, desired{resource: resourceOf(value), setsDrained: drained, setsTakenOut: takenOut})
		}
	}
	return all, nil
}

// decode decodes an entry with the codec of stored objects, which rejects unknown fields, and validates it.
func (e entry) decode(prefix string) (configurator.Value, error) {
	body, err := json.Marshal(e)
	if err != nil {
		return nil, reporter.Errorf("parse file", reporter.CodeUsage, "%v", err)
	}
	name := fmt.Sprint(e["name"])
	value, _, err := encoder.Decode(prefix+name, body)
	if err == nil {
		err = value.Validate()
	}
	if err != nil {
		label := strings.TrimPrefix(prefix, configurator.Prefix) + name
		return nil, reporter.Errorf("parse file", reporter.CodeUsage, "%s: %v", label, err)
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
		KeySegment: toUint32(service.KeySegment),
		SliceCount: toUint32(service.SliceCount),
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
		Slots:         toUint32(upstream.Slots),
		Connections:   toUint32(upstream.Connections),
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
		LengthMinutes: toUint32(int(window.Length / time.Minute)),
		TimeZone:      window.TimeZone,
	}
}

// toUint32 converts a number of a validated object, which is never negative.
func toUint32(number int) uint32 {
	return uint32(min(max(number, 0), math.MaxUint32))
}
