// Package storer keeps named objects with versions in memory, together with the history of their changes.
//
// Every write increments the revision of the store, which becomes the version of the written object. Conditional writes
// are always decided by the latest state, also while reads return a stale one.
//
// Usage:
//
//	store := storer.New()
//	current, ok := store.Put("config/service/a", value, storer.Condition{Absent: true})
//	batch, err := store.ChangesSince("config/", from)
package storer

import (
	"sort"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// historyLimit bounds the number of changes that are kept for watches. Above it the older half is compacted.
const historyLimit = 1 << 16

// ErrCompacted is returned by ChangesSince when changes after the requested revision have been discarded.
var ErrCompacted = errors.New("storer: changes after the requested revision were compacted")

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

// Condition is the precondition of a write. The zero value always holds.
type Condition struct {
	// Match is the version that the object must have. It is ignored when zero.
	Match uint64
	// Absent requires that the object does not exist.
	Absent bool
}

// Batch is the result of ChangesSince. Changes are ordered by revision.
type Batch struct {
	Changes []Change
	// Revision is the last revision that the batch covers.
	Revision uint64
	// Changed is closed by the next write to any object.
	Changed <-chan struct{}
}

// Store holds the objects. It is safe for concurrent use.
type Store struct {
	mu                sync.Mutex
	objects           map[string]Object
	staleObjects      map[string]Object
	staleRevision     uint64
	history           []Change
	revision          uint64
	compactedRevision uint64
	changed           chan struct{}
}

// New returns an empty store at revision 0.
func New() *Store {
	return &Store{objects: map[string]Object{}, changed: make(chan struct{})}
}

// Get returns the object, or false if it does not exist.
func (s *Store) Get(name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects, _ := s.readView()
	object, ok := objects[name]
	return object, ok
}

// List returns the objects whose names begin with the prefix, sorted by name, and the revision of the state that it
// read.
func (s *Store) List(prefix string) ([]Object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	source, revision := s.readView()
	var objects []Object
	for name, object := range source {
		if strings.HasPrefix(name, prefix) {
			objects = append(objects, object)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	return objects, revision
}

// Put writes the value and returns the new object. If the condition fails, it returns the current object and false.
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

// Delete removes the object. If the object does not exist, found and ok are false. If the condition fails, ok is false
// and the current object is returned.
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

// ChangesSince returns the changes after the revision to objects whose names begin with the prefix, oldest first. It
// returns ErrCompacted if some of these may have been discarded.
func (s *Store) ChangesSince(prefix string, from uint64) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.compactedRevision {
		return Batch{}, ErrCompacted
	}
	batch := Batch{Revision: max(from, s.revision), Changed: s.changed}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Object.Version > from })
	for _, change := range s.history[first:] {
		if strings.HasPrefix(change.Object.Name, prefix) {
			batch.Changes = append(batch.Changes, change)
		}
	}
	return batch, nil
}

// Compact discards the changes below the revision from the history. Zero discards nothing.
func (s *Store) Compact(before uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if before == 0 {
		return
	}
	s.compact(min(before-1, s.revision))
}

// SetStale with true makes Get and List return the state at the time of the call, and with false the latest state
// again. A repeated call with true keeps the earlier state. Writes and ChangesSince always use the latest state.
func (s *Store) SetStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !stale {
		s.staleObjects = nil
		return
	}
	if s.staleObjects != nil {
		return
	}
	s.staleObjects = make(map[string]Object, len(s.objects))
	for name, object := range s.objects {
		s.staleObjects[name] = object
	}
	s.staleRevision = s.revision
}

func (s *Store) readView() (map[string]Object, uint64) {
	if s.staleObjects != nil {
		return s.staleObjects, s.staleRevision
	}
	return s.objects, s.revision
}

func (s *Store) record(change Change) {
	s.revision = change.Object.Version
	s.history = append(s.history, change)
	if len(s.history) > historyLimit {
		s.compact(s.history[historyLimit/2].Object.Version)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) compact(last uint64) {
	if last <= s.compactedRevision {
		return
	}
	s.compactedRevision = last
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
