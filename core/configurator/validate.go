package configurator

import (
	"fmt"
	"net/netip"
	"path"
	"regexp"
	"strings"
	"time"
	_ "time/tzdata" // diskless hosts have no time zone database
)

// Bounds of configured values.
const (
	MaxNameLength  = 63
	MaxSliceCount  = 65_536 // such a table is stored in about 64 chunks
	MaxKeySegment  = 32
	MaxRules       = 256
	MaxPathLength  = 256 // together with MaxRules it keeps an object far below the limit of the store, 1 MiB
	MaxSlots       = 4_096
	MaxConnections = 65_535
	// MaxWindowLength prevents occurrences of a weekly window from overlapping each other.
	MaxWindowLength = 24 * time.Hour
)

// DefaultKeyHeader contains the key if a keyed service configures neither a header nor a path segment.
const DefaultKeyHeader = "Rhubarbtrack-Key"

var (
	// Names must not contain a dot, because a dot separates service and upstream in the name of an object.
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	tokenPattern  = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
)

// fieldErrors collects the invalid fields of one object.
type fieldErrors []FieldError

func (e *fieldErrors) require(ok bool, field, problem string, args ...any) {
	if !ok {
		*e = append(*e, FieldError{Field: field, Problem: fmt.Sprintf(problem, args...)})
	}
}

func (e *fieldErrors) name(field, value string) {
	ok := len(value) <= MaxNameLength && namePattern.MatchString(value)
	e.require(ok, field, "%q is not a name: 1 to %d lower-case letters, digits and inner dashes", value, MaxNameLength)
}

func (e *fieldErrors) inRange(field string, value, low, high int) {
	e.require(value >= low && value <= high, field, "%d is not between %d and %d", value, low, high)
}

func (e fieldErrors) invalid(object string) error {
	if len(e) == 0 {
		return nil
	}
	return &Error{Op: "validate", Kind: Invalid, Object: object, Fields: e}
}

// WithDefaults returns the service with DefaultKeyHeader if it is keyed and configures neither a header nor a path
// segment.
func (s Service) WithDefaults() Service {
	if s.Keyed && s.KeyHeader == "" && s.KeySegment == 0 {
		s.KeyHeader = DefaultKeyHeader
	}
	return s
}

// Validate implements Value.
func (s Service) Validate() error {
	var errs fieldErrors
	errs.name("name", s.Name)
	if s.Keyed {
		s.validateKey(&errs)
	} else {
		errs.require(s.KeyHeader == "", "key-header", "only a keyed service has a key")
		errs.require(s.KeySegment == 0, "key-segment", "only a keyed service has a key")
		errs.require(s.SliceCount == 0, "slice-count", "only a keyed service has slices")
	}
	errs.require(len(s.Rules) <= MaxRules, "rules", "%d rules are more than %d", len(s.Rules), MaxRules)
	for i, rule := range s.Rules {
		rule.validate(&errs, fmt.Sprintf("rules[%d]", i))
	}
	return errs.invalid(s.ObjectName())
}

func (s Service) validateKey(errs *fieldErrors) {
	switch {
	case s.KeyHeader != "" && s.KeySegment != 0:
		errs.require(false, "key-segment", "excludes key-header")
	case s.KeyHeader != "":
		errs.require(tokenPattern.MatchString(s.KeyHeader), "key-header", "%q is not a header name", s.KeyHeader)
	default:
		errs.inRange("key-segment", s.KeySegment, 1, MaxKeySegment)
	}
	errs.inRange("slice-count", s.SliceCount, 1, MaxSliceCount)
}

func (r Rule) validate(errs *fieldErrors, field string) {
	errs.require(r.Method == "" || methodPattern.MatchString(r.Method), field+".method",
		"%q is not an upper-case method", r.Method)
	// A pattern that can never match would disable a never-repeat rule unnoticed.
	errs.require(strings.HasPrefix(r.Path, "/"), field+".path", "%q does not start with /", r.Path)
	errs.require(len(r.Path) <= MaxPathLength, field+".path", "is longer than %d bytes", MaxPathLength)
	pattern := strings.TrimSuffix(r.Path, "/**")
	errs.require(!strings.Contains(pattern, "**"), field+".path", "%q has ** before its end", r.Path)
	_, err := path.Match(pattern, "")
	errs.require(err == nil, field+".path", "%q is not a pattern", r.Path)
	errs.require(r.Class >= NeverRepeat && r.Class <= Safe, field+".class", "%d is not a class", r.Class)
}

// Validate implements Value.
func (u Upstream) Validate() error {
	var errs fieldErrors
	errs.name("name", u.Name)
	errs.name("service", u.Service)
	errs.name("failure-domain", u.FailureDomain)
	address, err := netip.ParseAddrPort(u.Address)
	errs.require(err == nil && address.Port() != 0, "address", "%q is not an IP address with a port", u.Address)
	errs.inRange("slots", u.Slots, 1, MaxSlots)
	// Every concurrent request needs a connection.
	errs.inRange("connections", u.Connections, max(1, u.Slots), MaxConnections)
	return errs.invalid(u.ObjectName())
}

// Validate implements Value.
func (d FailureDomain) Validate() error {
	var errs fieldErrors
	errs.name("name", d.Name)
	return errs.invalid(d.ObjectName())
}

// Validate implements Value.
func (w Window) Validate() error {
	var errs fieldErrors
	errs.name("name", w.Name)
	errs.name("failure-domain", w.FailureDomain)
	errs.require(w.Weekday >= time.Sunday && w.Weekday <= time.Saturday, "weekday", "%d is not a weekday", w.Weekday)
	startOK := w.Start >= 0 && w.Start < 24*time.Hour && w.Start%time.Minute == 0
	errs.require(startOK, "start", "%v is not a whole minute of a day", w.Start)
	lengthOK := w.Length >= time.Minute && w.Length <= MaxWindowLength && w.Length%time.Minute == 0
	errs.require(lengthOK, "length-minutes", "%v is not a number of minutes up to %v", w.Length, MaxWindowLength)
	_, err := w.location()
	errs.require(err == nil, "time-zone", "%q is not an IANA time zone", w.TimeZone)
	return errs.invalid(w.ObjectName())
}

// location returns the time zone of the window. It rejects "" and "Local", because their meaning depends on the host.
func (w Window) location() (*time.Location, error) {
	if w.TimeZone == "" || w.TimeZone == "Local" {
		return nil, fmt.Errorf("time zone %q depends on the host", w.TimeZone)
	}
	return time.LoadLocation(w.TimeZone)
}
