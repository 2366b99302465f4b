// Package configurator contains the configuration that operators manage: services, upstreams, failure domains and
// cleaning windows.
//
// Every host has a Snapshot of the configuration. It is built from versioned objects. An object never replaces a newer
// version, so late watch events, stale reads and lagging peers cannot revert an accepted change. A Snapshot is not safe
// for concurrent use.
//
// # Usage
//
//	snapshot := configurator.New()
//	changed, err := snapshot.Merge(configurator.Object{Name: name, Version: 7, Body: body}, encoder.Decode)
//	if err != nil {
//		// snapshot is unchanged, configurator.FieldsOf(err) returns the invalid fields
//	}
//	err = snapshot.Check(upstream, now) // before an operator's change is written
package configurator

import "time"

// Class determines whether a request may be sent to an upstream more than once.
type Class int

// Classes of requests. The zero value is the strictest one.
const (
	// NeverRepeat requests are sent again only if the upstream has confirmed that it did not run them.
	NeverRepeat Class = iota
	// Idempotent requests change state but have the same effect if they are repeated.
	Idempotent
	// Safe requests do not change state.
	Safe
)

// Rule assigns a class to the requests of a service that it matches. The first matching rule applies.
type Rule struct {
	Method string // "" matches every method
	Path   string // path.Match pattern relative to the service; a trailing "/**" matches any remaining segments
	Class  Class
}

// Service is a group of upstreams that handle the same requests.
type Service struct {
	Name       string
	Keyed      bool   // requests have a key, and each key is owned by one upstream at a time
	KeyHeader  string // header that contains the key; "" means that KeySegment applies
	KeySegment int    // 1-based path segment, relative to the service, that contains the key; 0 means none
	SliceCount int    // number of ranges of the hash space
	Rules      []Rule
}

// Upstream is a server of a service.
type Upstream struct {
	Name          string
	Service       string
	FailureDomain string
	Address       string // host:port
	Slots         int    // maximum number of concurrent requests
	Connections   int    // maximum number of connections
	ChecksFence   bool   // it rejects requests with an outdated fence
	Drained       bool   // set by an operator: it receives no new work
}

// FailureDomain is a set of hosts and upstreams that may fail together and are drained together.
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

// Snapshot is the configuration that a host currently applies.
type Snapshot struct {
	Revision       uint64 // highest merged store revision
	Services       map[string]Service
	Upstreams      map[string]Upstream // by Upstream.ID, "<service>.<name>"
	FailureDomains map[string]FailureDomain
	Windows        map[string]Window
	Versions       map[string]uint64 // by object name: store revision, including deleted objects
	Origins        map[string]Origin // by object name: write that produced the object, excluding deleted objects
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
