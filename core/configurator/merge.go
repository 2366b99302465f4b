package configurator

import (
	"maps"
	"strings"

	"github.com/cockroachdb/errors"
)

// Prefix begins the names of all configuration objects in the store.
const Prefix = "config/"

// Name prefixes of each kind of object.
const (
	ServicePrefix       = Prefix + "service/"
	UpstreamPrefix      = Prefix + "upstream/"
	FailureDomainPrefix = Prefix + "failure-domain/"
	WindowPrefix        = Prefix + "window/"
)

// Object is one version of a stored object. If the object was deleted, it is a tombstone.
type Object struct {
	Name    string
	Version uint64 // store revision of the write or deletion
	Body    []byte // ignored for a tombstone
	Deleted bool
}

// Origin identifies the write that produced an object. If a writer receives no response, it reads the object and
// compares the origin to determine whether its write succeeded.
type Origin struct {
	Writer    string // issuer of the change
	Operation string // operation ID of the change, unique per writer
}

// Value is the content of an object: a Service, an Upstream, a FailureDomain or a Window.
type Value interface {
	// ObjectName returns the name of the object in the store.
	ObjectName() string
	// Validate returns nil or an *Error of kind Invalid with all invalid fields.
	Validate() error
}

// Decoder decodes the value of an object, usually encoder.Decode. It is an argument, because package encoder imports
// this package.
type Decoder func(name string, body []byte) (Value, Origin, error)

// ObjectName returns "config/service/<name>".
func (s Service) ObjectName() string { return ServicePrefix + s.Name }

// ID returns "<service>.<name>", which is unique among all upstreams and is the key of Snapshot.Upstreams.
func (u Upstream) ID() string { return u.Service + "." + u.Name }

// ObjectName returns "config/upstream/<service>.<name>".
func (u Upstream) ObjectName() string { return UpstreamPrefix + u.ID() }

// ObjectName returns "config/failure-domain/<name>".
func (d FailureDomain) ObjectName() string { return FailureDomainPrefix + d.Name }

// ObjectName returns "config/window/<name>".
func (w Window) ObjectName() string { return WindowPrefix + w.Name }

// Merge merges one version of an object into the snapshot and reports whether the snapshot changed. It ignores an
// object whose version is not higher than the merged one and returns no error for it, even if it is malformed. If Merge
// returns an error, which is always an *Error, the snapshot is unchanged.
func (s *Snapshot) Merge(object Object, decode Decoder) (bool, error) {
	if !isConfigName(object.Name) {
		return false, &Error{Op: "merge", Kind: Misnamed, Object: object.Name,
			Err: errors.New("the name has no known prefix")}
	}
	if object.Version <= s.Versions[object.Name] {
		return false, nil
	}
	if object.Deleted {
		s.remove(object.Name)
		s.commit(object, Origin{})
		return true, nil
	}
	value, origin, err := decode(object.Name, object.Body)
	if err != nil {
		return false, &Error{Op: "merge", Kind: Unreadable, Object: object.Name, Fields: FieldsOf(err), Err: err}
	}
	if value.ObjectName() != object.Name {
		return false, misnamed(object.Name, value.ObjectName())
	}
	if err := value.Validate(); err != nil {
		return false, &Error{Op: "merge", Kind: Invalid, Object: object.Name, Fields: FieldsOf(err)}
	}
	s.set(value)
	s.commit(object, origin)
	return true, nil
}

// Lookup returns the value of the object with the given name in the store.
func (s *Snapshot) Lookup(name string) (Value, bool) {
	var value Value
	var found bool
	switch {
	case strings.HasPrefix(name, ServicePrefix):
		value, found = s.Services[strings.TrimPrefix(name, ServicePrefix)]
	case strings.HasPrefix(name, UpstreamPrefix):
		value, found = s.Upstreams[strings.TrimPrefix(name, UpstreamPrefix)]
	case strings.HasPrefix(name, FailureDomainPrefix):
		value, found = s.FailureDomains[strings.TrimPrefix(name, FailureDomainPrefix)]
	case strings.HasPrefix(name, WindowPrefix):
		value, found = s.Windows[strings.TrimPrefix(name, WindowPrefix)]
	}
	if !found {
		return nil, false
	}
	return value, true
}

// Clone returns a copy that shares no mutable state with s. The slices of rules are shared, because Merge replaces them
// and never modifies them.
func (s *Snapshot) Clone() *Snapshot {
	return &Snapshot{
		Revision:       s.Revision,
		Services:       maps.Clone(s.Services),
		Upstreams:      maps.Clone(s.Upstreams),
		FailureDomains: maps.Clone(s.FailureDomains),
		Windows:        maps.Clone(s.Windows),
		Versions:       maps.Clone(s.Versions),
		Origins:        maps.Clone(s.Origins),
	}
}

func isConfigName(name string) bool {
	for _, prefix := range []string{ServicePrefix, UpstreamPrefix, FailureDomainPrefix, WindowPrefix} {
		if len(name) > len(prefix) && strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

func misnamed(object, value string) *Error {
	fields := []FieldError{{Field: "name", Problem: "the value belongs to the object " + value}}
	return &Error{Op: "merge", Kind: Misnamed, Object: object, Fields: fields}
}

func (s *Snapshot) set(value Value) {
	switch typed := value.(type) {
	case Service:
		s.Services[typed.Name] = typed
	case Upstream:
		s.Upstreams[typed.ID()] = typed
	case FailureDomain:
		s.FailureDomains[typed.Name] = typed
	case Window:
		s.Windows[typed.Name] = typed
	}
}

func (s *Snapshot) remove(name string) {
	switch {
	case strings.HasPrefix(name, ServicePrefix):
		delete(s.Services, strings.TrimPrefix(name, ServicePrefix))
	case strings.HasPrefix(name, UpstreamPrefix):
		delete(s.Upstreams, strings.TrimPrefix(name, UpstreamPrefix))
	case strings.HasPrefix(name, FailureDomainPrefix):
		delete(s.FailureDomains, strings.TrimPrefix(name, FailureDomainPrefix))
	case strings.HasPrefix(name, WindowPrefix):
		delete(s.Windows, strings.TrimPrefix(name, WindowPrefix))
	}
}

func (s *Snapshot) commit(object Object, origin Origin) {
	s.Versions[object.Name] = object.Version
	s.Revision = max(s.Revision, object.Version)
	if s.Origins == nil {
		s.Origins = map[string]Origin{}
	}
	if object.Deleted {
		delete(s.Origins, object.Name)
		return
	}
	s.Origins[object.Name] = origin
}
