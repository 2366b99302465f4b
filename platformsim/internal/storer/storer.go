// Package storer keeps named objects with versions in memory, together with the history of their changes.
//
// Usage:
//
//	store := storer.New()
//	current, ok := store.Put("config/service/a", value, storer.Condition{Absent: true})
//	batch, err := store.Since("config/", from)
package storer

import (
	"sort"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// historyLimit bounds the number of changes that are kept for watches; older ones are compacted.
const historyLimit = 1 << 16

// ErrCompacted is returned by Since when changes after the requested revision are no longer kept.
var ErrCompacted = errors.New("storer: revision was compacted")

// Object is a named value. Version is the revision of its last write.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// Change is one write. For a deletion, Object has no value, and its version is the revision of the deletion.
type Change struct {
	Object  Object
	Deleted bool
}

// Condition restricts a write. The zero value always holds.
type Condition struct {
	// Match is the version that the object must have. It is ignored when zero.
	Match uint64
	// Absent requires that the object does not exist.
	Absent bool
}

// Batch is the answer of Since.
type Batch struct {
	Changes []Change
	// Revision is the last revision that the batch covers.
	Revision uint64
	// Changed is closed by the next write.
	Changed <-chan struct{}
}

// Store holds the objects. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	objects   map[string]Object
	stale     map[string]Object
	staleAt   uint64
	history   []Change
	revision  uint64
	compacted uint64
	next      chan struct{}
}

// New returns an empty store at revision 0.
func New() *Store {
	return &Store{objects: map[string]Object{}, next: make(chan struct{})}
}

// Get returns the object, and false when it does not exist.
func (s *Store) Get(name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects, _ := s.readable()
	object, ok := objects[name]
	return object, ok
}

// List returns the objects whose names begin with the prefix, sorted by name, and the revision of the list.
func (s *Store) List(prefix string) ([]Object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	source, revision := s.readable()
	var objects []Object
	for name, object := range source {
		if strings.HasPrefix(name, prefix) {
			objects = append(objects, object)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	return objects, revision
}

// Put writes the value. When the condition fails it returns the current object and false.
func (s *Store) Put(name string, value []byte, condition Condition) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[name]
	if !condition.holds(current, exists) {
		return current, false
	}
	object := Object{Name: name, Version: s.revision + 1, Value: value}
	s.objects[name] = object
	s.record(Change{Object: object})
	return object, true
}

// Delete removes the object. Found is false when it does not exist; when the condition fails, ok is false and the current
// object is returned.
func (s *Store) Delete(name string, condition Condition) (object Object, found, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[name]
	if !exists {
		return Object{}, false, false
	}
	if !condition.holds(current, exists) {
		return current, true, false
	}
	delete(s.objects, name)
	object = Object{Name: name, Version: s.revision + 1}
	s.record(Change{Object: object, Deleted: true})
	return object, true, true
}

// ChangesSince returns the changes of names with the prefix after the revision.
func (s *Store) ChangesSince(prefix string, from uint64) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.compacted {
		return Batch{}, ErrCompacted
	}
	batch := Batch{Revision: max(from, s.revision), Changed: s.next}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Object.Version > from })
	for _, change := range s.history[first:] {
		if strings.HasPrefix(change.Object.Name, prefix) {
			batch.Changes = append(batch.Changes, change)
		}
	}
	return batch, nil
}

// Compact forgets the changes below the revision.
func (s *Store) Compact(before uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if before == 0 {
		return
	}
	s.compact(min(before-1, s.revision))
}

// SetStale freezes what Get and List return at the current state, or returns to the latest state. Writes and Since are
// not affected.
func (s *Store) SetStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !stale {
		s.stale = nil
		return
	}
	if s.stale != nil {
		return
	}
	s.stale = make(map[string]Object, len(s.objects))
	for name, object := range s.objects {
		s.stale[name] = object
	}
	s.staleAt = s.revision
}

func (s *Store) readable() (map[string]Object, uint64) {
	if s.stale != nil {
		return s.stale, s.staleAt
	}
	return s.objects, s.revision
}

func (s *Store) record(change Change) {
	s.revision = change.Object.Version
	s.history = append(s.history, change)
	if len(s.history) > historyLimit {
		s.compact(s.history[historyLimit/2].Object.Version)
	}
	close(s.next)
	s.next = make(chan struct{})
}

func (s *Store) compact(last uint64) {
	if last <= s.compacted {
		return
	}
	s.compacted = last
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Object.Version > last })
	s.history = append([]Change(nil), s.history[first:]...)
}

func (c Condition) holds(current Object, exists bool) bool {
	if c.Absent {
		return !exists
	}
	if c.Match != 0 {
		return exists && current.Version == c.Match
	}
	return true
}
