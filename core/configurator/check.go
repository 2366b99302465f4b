package configurator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// overlapWeeks is the number of weeks for which windows are compared: a year, so that every change between summer and
// winter time of two time zones is met.
const overlapWeeks = 53

// Check reports whether a valid value may be written in this snapshot: what it refers to exists, windows do not overlap
// in the year after now, and the fields that stored tables depend on stay as they are. Its error is an *Error.
//
// Merge does not check this, because a host must accept every object that the store accepted, in any order.
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

// CheckDelete reports whether the object can be deleted without leaving a reference to it. Its error is an *Error.
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
	return &Error{Op: "check-delete", Kind: DanglingReference, Object: name, Fields: []FieldError{{Field: "name", Problem: problem}}}
}

func (s *Snapshot) checkService(service Service) error {
	current, exists := s.Services[service.Name]
	if !exists {
		return nil
	}
	var faults checklist
	faults.require(current.Keyed == service.Keyed, "keyed", "cannot change after creation")
	faults.require(current.SliceCount == service.SliceCount, "slice-count", "cannot change after creation")
	return faults.as(Immutable, service.ObjectName())
}

func (s *Snapshot) checkUpstream(upstream Upstream) error {
	var faults checklist
	_, hasService := s.Services[upstream.Service]
	faults.require(hasService, "service", "there is no service %q", upstream.Service)
	_, hasDomain := s.FailureDomains[upstream.FailureDomain]
	faults.require(hasDomain, "failure-domain", "there is no failure domain %q", upstream.FailureDomain)
	return faults.as(DanglingReference, upstream.ObjectName())
}

func (s *Snapshot) checkWindow(window Window, now time.Time) error {
	var faults checklist
	_, hasDomain := s.FailureDomains[window.FailureDomain]
	faults.require(hasDomain, "failure-domain", "there is no failure domain %q", window.FailureDomain)
	if len(faults) > 0 {
		return faults.as(DanglingReference, window.ObjectName())
	}
	for _, name := range slices.Sorted(maps.Keys(s.Windows)) {
		other := s.Windows[name]
		if name == window.Name || !Overlap(window, other, now) {
			continue
		}
		faults.require(false, "start", "overlaps window %q of failure domain %q", name, other.FailureDomain)
	}
	return faults.as(Overlapping, window.ObjectName())
}

func (c checklist) as(kind Kind, object string) error {
	if len(c) == 0 {
		return nil
	}
	return &Error{Op: "check", Kind: kind, Object: object, Fields: c}
}

// Overlap reports whether two valid windows overlap in the year after now. Windows of any two failure domains are
// compared, because two domains cleaned at once would both be missing.
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

// zone returns the time zone of a window, UTC for an unknown one, which validation refuses.
func (w Window) zone() *time.Location {
	zone, err := w.location()
	if err != nil {
		return time.UTC
	}
	return zone
}

// KindOf returns the kind part of an object's name, for example "service", and the rest.
func KindOf(name string) (kind, rest string) {
	kind, rest, _ = strings.Cut(strings.TrimPrefix(name, Prefix), "/")
	return kind, rest
}
