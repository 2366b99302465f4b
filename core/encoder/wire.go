package encoder

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/configurator"
)

// startLayout is the format of the start time of a cleaning window.
const startLayout = "15:04"

// maxLengthMinutes prevents an overflow of time.Duration when the length of a window is converted.
const maxLengthMinutes = 1 << 20

var classNames = []struct {
	class configurator.Class
	name  string
}{
	{configurator.NeverRepeat, "never-repeat"},
	{configurator.Idempotent, "idempotent"},
	{configurator.Safe, "safe"},
}

// ClassName returns the name of a class in stored objects, or "" if the class is unknown.
func ClassName(class configurator.Class) string {
	for _, entry := range classNames {
		if entry.class == class {
			return entry.name
		}
	}
	return ""
}

// ParseClass returns the class with the given name in stored objects, and false if there is none.
func ParseClass(name string) (configurator.Class, bool) {
	for _, entry := range classNames {
		if entry.name == name {
			return entry.class, true
		}
	}
	return configurator.NeverRepeat, false
}

// ParseWeekday returns the weekday with the given English lower-case name, and false if there is none.
func ParseWeekday(name string) (time.Weekday, bool) {
	for day := time.Sunday; day <= time.Saturday; day++ {
		if strings.ToLower(day.String()) == name {
			return day, true
		}
	}
	return time.Sunday, false
}

// ParseStart parses a time of day in the form "HH:MM" and returns it as the duration since midnight. Both numbers need
// two digits.
func ParseStart(text string) (time.Duration, bool) {
	start, err := time.Parse(startLayout, text)
	if err != nil || len(text) != len(startLayout) {
		return 0, false
	}
	return time.Duration(start.Hour())*time.Hour + time.Duration(start.Minute())*time.Minute, true
}

// FormatStart formats a duration since midnight as "HH:MM" and discards seconds.
func FormatStart(start time.Duration) string {
	return fmt.Sprintf("%02d:%02d", start/time.Hour, start%time.Hour/time.Minute)
}

type origin struct {
	Writer    string `json:"writer"`
	Operation string `json:"operation"`
}

func (o origin) domain() configurator.Origin {
	return configurator.Origin{Writer: o.Writer, Operation: o.Operation}
}

func originOf(o configurator.Origin) origin {
	return origin{Writer: o.Writer, Operation: o.Operation}
}

type service struct {
	Name       string `json:"name"`
	Keyed      bool   `json:"keyed"`
	KeyHeader  string `json:"key-header"`
	KeySegment int    `json:"key-segment"`
	SliceCount int    `json:"slice-count"`
	Rules      []rule `json:"rules"`
	origin
}

type rule struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Class  string `json:"class"`
}

func (w service) domain() (configurator.Value, configurator.Origin, error) {
	value := configurator.Service{
		Name:       w.Name,
		Keyed:      w.Keyed,
		KeyHeader:  w.KeyHeader,
		KeySegment: w.KeySegment,
		SliceCount: w.SliceCount,
	}
	for i, rule := range w.Rules {
		class, ok := ParseClass(rule.Class)
		if !ok {
			return nil, configurator.Origin{}, badValue("decode", fmt.Sprintf("rules[%d].class", i), rule.Class)
		}
		value.Rules = append(value.Rules, configurator.Rule{Method: rule.Method, Path: rule.Path, Class: class})
	}
	return value.WithDefaults(), w.origin.domain(), nil
}

func serviceOf(value configurator.Service, from configurator.Origin) (service, error) {
	wire := service{
		Name:       value.Name,
		Keyed:      value.Keyed,
		KeyHeader:  value.KeyHeader,
		KeySegment: value.KeySegment,
		SliceCount: value.SliceCount,
		Rules:      []rule{},
		origin:     originOf(from),
	}
	for i, entry := range value.Rules {
		class := ClassName(entry.Class)
		if class == "" {
			return service{}, badValue("encode", fmt.Sprintf("rules[%d].class", i), fmt.Sprint(int(entry.Class)))
		}
		wire.Rules = append(wire.Rules, rule{Method: entry.Method, Path: entry.Path, Class: class})
	}
	return wire, nil
}

type upstream struct {
	Name          string `json:"name"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure-domain"`
	Address       string `json:"address"`
	Slots         int    `json:"slots"`
	Connections   int    `json:"connections"`
	ChecksFence   bool   `json:"checks-fence"`
	Drained       bool   `json:"drained"`
	origin
}

func (w upstream) domain() (configurator.Value, configurator.Origin, error) {
	value := configurator.Upstream{
		Name:          w.Name,
		Service:       w.Service,
		FailureDomain: w.FailureDomain,
		Address:       w.Address,
		Slots:         w.Slots,
		Connections:   w.Connections,
		ChecksFence:   w.ChecksFence,
		Drained:       w.Drained,
	}
	return value, w.origin.domain(), nil
}

func upstreamOf(value configurator.Upstream, from configurator.Origin) upstream {
	return upstream{
		Name:          value.Name,
		Service:       value.Service,
		FailureDomain: value.FailureDomain,
		Address:       value.Address,
		Slots:         value.Slots,
		Connections:   value.Connections,
		ChecksFence:   value.ChecksFence,
		Drained:       value.Drained,
		origin:        originOf(from),
	}
}

type failureDomain struct {
	Name     string `json:"name"`
	TakenOut bool   `json:"taken-out"`
	origin
}

func (w failureDomain) domain() (configurator.Value, configurator.Origin, error) {
	return configurator.FailureDomain{Name: w.Name, TakenOut: w.TakenOut}, w.origin.domain(), nil
}

func failureDomainOf(value configurator.FailureDomain, from configurator.Origin) failureDomain {
	return failureDomain{Name: value.Name, TakenOut: value.TakenOut, origin: originOf(from)}
}

type window struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure-domain"`
	Weekday       string `json:"weekday"`
	Start         string `json:"start"`
	LengthMinutes int    `json:"length-minutes"`
	TimeZone      string `json:"time-zone"`
	origin
}

func (w window) domain() (configurator.Value, configurator.Origin, error) {
	weekday, ok := ParseWeekday(w.Weekday)
	if !ok {
		return nil, configurator.Origin{}, badValue("decode", "weekday", w.Weekday)
	}
	start, ok := ParseStart(w.Start)
	if !ok {
		return nil, configurator.Origin{}, badValue("decode", "start", w.Start)
	}
	if w.LengthMinutes < 0 || w.LengthMinutes > maxLengthMinutes {
		return nil, configurator.Origin{}, badValue("decode", "length-minutes", fmt.Sprint(w.LengthMinutes))
	}
	value := configurator.Window{
		Name:          w.Name,
		FailureDomain: w.FailureDomain,
		Weekday:       weekday,
		Start:         start,
		Length:        time.Duration(w.LengthMinutes) * time.Minute,
		TimeZone:      w.TimeZone,
	}
	return value, w.origin.domain(), nil
}

func windowOf(value configurator.Window, from configurator.Origin) (window, error) {
	wire := window{
		Name:          value.Name,
		FailureDomain: value.FailureDomain,
		Weekday:       strings.ToLower(value.Weekday.String()),
		Start:         FormatStart(value.Start),
		LengthMinutes: int(value.Length / time.Minute),
		TimeZone:      value.TimeZone,
		origin:        originOf(from),
	}
	if _, ok := ParseWeekday(wire.Weekday); !ok {
		return window{}, badValue("encode", "weekday", fmt.Sprint(int(value.Weekday)))
	}
	if _, ok := ParseStart(wire.Start); !ok {
		return window{}, badValue("encode", "start", wire.Start)
	}
	return wire, nil
}

func badValue(op, field, value string) error {
	return &Error{Op: op, Kind: BadValue, Field: field, Err: errors.Newf("%q is not allowed", value)}
}
