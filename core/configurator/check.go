package configurator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// overlapWeeks is the number of weeks for which windows are compared. It covers a year, which includes all clock
// changes of both time zones.
const overlapWeeks = 53

// Check checks whether a valid value may be written in the state of this snapshot. The objects that it refers to must
// exist, windows must not overlap in the year after now, and the fields on which stored tables depend must not change.
// It returns nil or an *Error.
//
// Merge does not make these checks, because a host must accept every object that the store has accepted, in any order.
func (s *Snapshot) Check(value Value, now time.Time) error {
	switch typed := value.(type) {
	case Service:
		return s.checkService(typed)
	case Upstream:
		return s.checkUpstream(typed)
	case Window:
		return s.checkWindow(typed, now)
	}
	return nil
}

// CheckDelete checks that no other object refers to the object. It returns nil or an *Error of kind DanglingReference.
func (s *Snapshot) CheckDelete(name string) error {
	var users []string
	for _, upstream := range s.Upstreams {
		if name == ServicePrefix+upstream.Service || name == FailureDomainPrefix+upstream.FailureDomain {
			users = append(users, upstream.ObjectName())
		}
	}
	for _, window := range s.Windows {
		if name == FailureDomainPrefix+window.FailureDomain {
			users = append(users, window.ObjectName())
		}
	}
	if len(users) == 0 {
		return nil
	}
	slices.Sort(users)
	problem := fmt.Sprintf("%d objects refer to it, the first is %s", len(users), users[0])
	return &Error{Op: "check-delete", Kind: DanglingReference, Object: name,
		Fields: []FieldError{{Field: "name", Problem: problem}}}
}

func (s *Snapshot) checkService(service Service) error {
	current, exists := s.Services[service.Name]
	if !exists {
		return nil
	}
	var errs fieldErrors
	errs.require(current.Keyed == service.Keyed, "keyed", "cannot change after creation")
	errs.require(current.SliceCount == service.SliceCount, "slice-count", "cannot change after creation")
	return errs.errorOf(Immutable, service.ObjectName())
}

func (s *Snapshot) checkUpstream(upstream Upstream) error {
	var errs fieldErrors
	_, hasService := s.Services[upstream.Service]
	errs.require(hasService, "service", "there is no service %q", upstream.Service)
	_, hasDomain := s.FailureDomains[upstream.FailureDomain]
	errs.require(hasDomain, "failure-domain", "there is no failure domain %q", upstream.FailureDomain)
	return errs.errorOf(DanglingReference, upstream.ObjectName())
}

func (s *Snapshot) checkWindow(window Window, now time.Time) error {
	var errs fieldErrors
	_, hasDomain := s.FailureDomains[window.FailureDomain]
	errs.require(hasDomain, "failure-domain", "there is no failure domain %q", window.FailureDomain)
	if len(errs) > 0 {
		return errs.errorOf(DanglingReference, window.ObjectName())
	}
	for _, name := range slices.Sorted(maps.Keys(s.Windows)) {
		other := s.Windows[name]
		if name == window.Name || !Overlap(window, other, now) {
			continue
		}
		errs.require(false, "start", "overlaps window %q of failure domain %q", name, other.FailureDomain)
	}
	return errs.errorOf(Overlapping, window.ObjectName())
}

func (e fieldErrors) errorOf(kind Kind, object string) error {
	if len(e) == 0 {
		return nil
	}
	return &Error{Op: "check", Kind: kind, Object: object, Fields: e}
}

// Overlap reports whether two valid windows overlap in the year after now. It applies to windows of different failure
// domains as well, because both domains would be out of service at the same time.
func Overlap(a, b Window, now time.Time) bool {
	end := now.Add(overlapWeeks * 7 * day)
	others := b.Occurrences(b.zone(), now, end)
	for _, run := range a.Occurrences(a.zone(), now, end) {
		for _, other := range others {
			if run.Start.Before(other.End) && other.Start.Before(run.End) {
				return true
			}
		}
	}
	return false
}

// zone returns the time zone of a window, or UTC if it is unknown. Validate rejects a window with an unknown time zone.
func (w Window) zone() *time.Location {
	zone, err := w.location()
	if err != nil {
		return time.UTC
	}
	return zone
}

// KindOf splits the name of an object into its kind, for example "service", and the rest.
func KindOf(name string) (kind, rest string) {
	kind, rest, _ = strings.Cut(strings.TrimPrefix(name, Prefix), "/")
	return kind, rest
}
