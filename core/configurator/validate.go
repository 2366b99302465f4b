package configurator

import (
	"fmt"
	"net/netip"
	"path"
	"regexp"
	"strings"
	"time"
	_ "time/tzdata" // diskless hosts have no zone files
)

// Bounds of configured values.
const (
	MaxNameLength  = 63
	MaxSliceCount  = 65_536 // 64 chunks of a stored table
	MaxKeySegment  = 32
	MaxRules       = 256
	MaxPathLength  = 256 // with MaxRules it keeps an object far below the 1 MiB of the store
	MaxSlots       = 4_096
	MaxConnections = 65_535
	// MaxWindowLength is one day, so that a weekly window cannot overlap itself.
	MaxWindowLength = 24 * time.Hour
)

// DefaultKeyHeader carries the key of a service that configures neither a header nor a path segment.
const DefaultKeyHeader = "Rhubarbtrack-Key"

var (
	// Names contain no dot, since a dot separates service and upstream in the name of an object.
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	tokenPattern  = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
)

// checklist collects the fields at fault of one object.
type checklist []FieldError

func (c *checklist) require(ok bool, field, problem string, args ...any) {
	if !ok {
		*c = append(*c, FieldError{Field: field, Problem: fmt.Sprintf(problem, args...)})
	}
}

func (c *checklist) name(field, value string) {
	ok := len(value) <= MaxNameLength && namePattern.MatchString(value)
	c.require(ok, field, "%q is not a name: 1 to %d lower-case letters, digits and inner dashes", value, MaxNameLength)
}

func (c *checklist) between(field string, value, low, high int) {
	c.require(value >= low && value <= high, field, "%d is not between %d and %d", value, low, high)
}

func (c checklist) err(object string) error {
	if len(c) == 0 {
		return nil
	}
	return &Error{Op: "validate", Kind: Invalid, Object: object, Fields: c}
}

// WithDefaults returns the service with the default key header when it is keyed and configures no key.
func (s Service) WithDefaults() Service {
	if s.Keyed && s.KeyHeader == "" && s.KeySegment == 0 {
		s.KeyHeader = DefaultKeyHeader
	}
	return s
}

// Validate implements Value.
func (s Service) Validate() error {
	var faults checklist
	faults.name("name", s.Name)
	if s.Keyed {
		s.validateKey(&faults)
	} else {
		faults.require(s.KeyHeader == "", "key-header", "only a keyed service has a key")
		faults.require(s.KeySegment == 0, "key-segment", "only a keyed service has a key")
		faults.require(s.SliceCount == 0, "slice-count", "only a keyed service has slices")
	}
	faults.require(len(s.Rules) <= MaxRules, "rules", "%d rules are more than %d", len(s.Rules), MaxRules)
	for i, rule := range s.Rules {
		rule.validate(&faults, fmt.Sprintf("rules[%d]", i))
	}
	return faults.err(s.ObjectName())
}

func (s Service) validateKey(faults *checklist) {
	switch {
	case s.KeyHeader != "" && s.KeySegment != 0:
		faults.require(false, "key-segment", "excludes key-header")
	case s.KeyHeader != "":
		faults.require(tokenPattern.MatchString(s.KeyHeader), "key-header", "%q is not a header name", s.KeyHeader)
	default:
		faults.between("key-segment", s.KeySegment, 1, MaxKeySegment)
	}
	faults.between("slice-count", s.SliceCount, 1, MaxSliceCount)
}

func (r Rule) validate(faults *checklist, field string) {
	faults.require(r.Method == "" || methodPattern.MatchString(r.Method), field+".method",
		"%q is not an upper-case method", r.Method)
	// A pattern that can never match would silently weaken a never-repeat rule.
	faults.require(strings.HasPrefix(r.Path, "/"), field+".path", "%q does not start with /", r.Path)
	faults.require(len(r.Path) <= MaxPathLength, field+".path", "is longer than %d bytes", MaxPathLength)
	pattern := strings.TrimSuffix(r.Path, "/**")
	faults.require(!strings.Contains(pattern, "**"), field+".path", "%q has ** before its end", r.Path)
	_, err := path.Match(pattern, "")
	faults.require(err == nil, field+".path", "%q is not a pattern", r.Path)
	faults.require(r.Class >= NeverRepeat && r.Class <= Safe, field+".class", "%d is not a class", r.Class)
}

// Validate implements Value.
func (u Upstream) Validate() error {
	var faults checklist
	faults.name("name", u.Name)
	faults.name("service", u.Service)
	faults.name("failure-domain", u.FailureDomain)
	address, err := netip.ParseAddrPort(u.Address)
	faults.require(err == nil && address.Port() != 0, "address", "%q is not an IP address with a port", u.Address)
	faults.between("slots", u.Slots, 1, MaxSlots)
	// Every running request holds one connection.
	faults.between("connections", u.Connections, max(1, u.Slots), MaxConnections)
	return faults.err(u.ObjectName())
}

// Validate implements Value.
func (d FailureDomain) Validate() error {
	var faults checklist
	faults.name("name", d.Name)
	return faults.err(d.ObjectName())
}

// Validate implements Value.
func (w Window) Validate() error {
	var faults checklist
	faults.name("name", w.Name)
	faults.name("failure-domain", w.FailureDomain)
	faults.require(w.Weekday >= time.Sunday && w.Weekday <= time.Saturday, "weekday", "%d is not a weekday", w.Weekday)
	startOK := w.Start >= 0 && w.Start < 24*time.Hour && w.Start%time.Minute == 0
	faults.require(startOK, "start", "%v is not a whole minute of a day", w.Start)
	lengthOK := w.Length >= time.Minute && w.Length <= MaxWindowLength && w.Length%time.Minute == 0
	faults.require(lengthOK, "length-minutes", "%v is not a number of minutes up to %v", w.Length, MaxWindowLength)
	_, err := w.location()
	faults.require(err == nil, "time-zone", "%q is not an IANA time zone", w.TimeZone)
	return faults.err(w.ObjectName())
}

// location refuses the empty zone and "Local", whose meaning differs from host to host.
func (w Window) location() (*time.Location, error) {
	if w.TimeZone == "" || w.TimeZone == "Local" {
		return nil, fmt.Errorf("time zone %q depends on the host", w.TimeZone)
	}
	return time.LoadLocation(w.TimeZone)
}
