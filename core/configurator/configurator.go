// Package configurator holds the operators' configuration: services, upstreams, failure domains and cleaning windows.
//
// A Snapshot is the aggregate that every host keeps. It is built from versioned objects, and an object never replaces a
// newer one, so late watch events, stale reads and lagging peers cannot revert an accepted change.
//
// # Usage
//
//	snapshot := configurator.New()
//	changed, err := snapshot.Merge(configurator.Object{Name: name, Version: 7, Body: body}, encoder.Decode)
//	if err != nil {
//		// snapshot is unchanged, configurator.FieldsOf(err) names the fields at fault
//	}
//	err = snapshot.Check(upstream, now) // before an operator's change is written
package configurator

import "time"

// Class says how often a request may be sent to an upstream.
type Class int

// Classes of requests. The zero value is the strictest one.
const (
	// NeverRepeat requests are sent again only after the upstream said that they were not run.
	NeverRepeat Class = iota
	// Idempotent requests change state but may be repeated.
	Idempotent
	// Safe requests change nothing.
	Safe
)

// Rule assigns a class to the requests of a service that it matches. The first matching rule wins.
type Rule struct {
	Method string // "" matches every method
	Path   string // pattern of path.Match below the service, a trailing "/**" matches any rest
	Class  Class
}

// Service is a group of upstreams with one purpose.
type Service struct {
	Name       string
	Keyed      bool   // keys are owned exclusively
	KeyHeader  string // header that carries the key; "" means that KeySegment applies
	KeySegment int    // 1-based path segment below the service that carries the key; 0 means none
	SliceCount int    // ranges of the hash space
	Rules      []Rule
}

// Upstream is a server of a service.
type Upstream struct {
	Name          string
	Service       string
	FailureDomain string
	Address       string // host:port
	Slots         int    // requests run at once
	Connections   int    // connections it accepts
	ChecksFence   bool
	Drained       bool // an operator wants it to receive no new work
}

// FailureDomain is a set of hosts and upstreams that are emptied and fail together.
type FailureDomain struct {
	Name     string
	TakenOut bool
}

// Window is a weekly cleaning window of a failure domain, in the wall-clock time of a time zone.
type Window struct {
	Name          string
	FailureDomain string
	Weekday       time.Weekday
	Start         time.Duration // since midnight
	Length        time.Duration
	TimeZone      string // IANA name
}

// Snapshot is the configuration that one host has in force.
type Snapshot struct {
	Revision       uint64 // highest store revision merged
	Services       map[string]Service
	Upstreams      map[string]Upstream // by Upstream.ID, "<service>.<name>"
	FailureDomains map[string]FailureDomain
	Windows        map[string]Window
	Versions       map[string]uint64 // store revision of each object by name, deleted ones included
	Origins        map[string]Origin // write that produced each object by name, deleted ones excluded
}

// New returns an empty snapshot.
func New() *Snapshot {
	return &Snapshot{
		Services:       map[string]Service{},
		Upstreams:      map[string]Upstream{},
		FailureDomains: map[string]FailureDomain{},
		Windows:        map[string]Window{},
		Versions:       map[string]uint64{},
		Origins:        map[string]Origin{},
	}
}
