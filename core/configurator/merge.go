package configurator

import (
	"maps"
	"strings"

	"github.com/cockroachdb/errors"
)

// Prefix is the prefix of the names of all configuration objects in the store.
const Prefix = "config/"

// Prefixes of the names of the objects of one kind.
const (
	ServicePrefix       = Prefix + "service/"
	UpstreamPrefix      = Prefix + "upstream/"
	FailureDomainPrefix = Prefix + "failure-domain/"
	WindowPrefix        = Prefix + "window/"
)

// Object is one version of a stored object, or the tombstone of a deleted one.
type Object struct {
	Name    string
	Version uint64 // store revision of the write or of the deletion
	Body    []byte // ignored for a tombstone
	Deleted bool
}

// Origin identifies the write that produced an object. It resolves writes whose answer was lost.
type Origin struct {
	Writer    string // who issued the change
	Operation string // operation id of the change, unique per writer
}

// Value is the content of an object: a Service, an Upstream, a FailureDomain or a Window.
type Value interface {
	// ObjectName returns the name of the object in the store.
	ObjectName() string
	// Validate returns an *Error of kind Invalid that names all fields at fault, or nil.
	Validate() error
}

// Decoder reads the value of an object. The snapshot receives it as an argument, because the codec depends on the types
// of this package; encoder.Decode is the one in use.
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

// Merge takes one version of an object into the snapshot and reports whether the snapshot changed. An object whose
// version is not higher than the merged one is ignored without an error, even when it is malformed. On an error, which
// is always an *Error, the snapshot is unchanged.
func (s *Snapshot) Merge(object Object, decode Decoder) (bool, error) {
	if !isConfigName(object.Name) {
		return false, &Error{Op: "merge", Kind: Misnamed, Object: object.Name, Err: errors.New("no kind has this prefix")}
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

// Lookup returns the value of an object by the object's name.
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

// Clone returns a copy that shares no mutable state with s. Rules are shared, since a merge replaces them as a whole.
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
