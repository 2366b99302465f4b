package main

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	objectsPath = "/rhubarbtrack/objects/"
	// historySize bounds the changes that are kept for watches.
	historySize = 5000
	maxWait     = 30 * time.Second
	pageSize    = 500
)

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata      metadata        `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status"`
}

type change struct {
	kind     string
	revision int64
	removed  bool
	object   object
}

// state is what a copy of the store holds.
type state struct {
	objects   map[string]map[string]object
	revision  int64
	compacted int64 // the history has only later revisions
	history   []change
}

func (s *state) clone() *state {
	c := &state{objects: map[string]map[string]object{}, revision: s.revision, compacted: s.compacted, history: slices.Clone(s.history)}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// Store is a stand-in for the platform's store. It can go back to a copy of itself, as in a drill.
type Store struct {
	mutex   sync.Mutex
	state   *state
	era     int64
	away    bool
	changed chan struct{}
	// OnWrite is called for each write of the system, with the status of the response, while the mutex is held. It may be nil.
	OnWrite func(method, path string, expected int64, status int, stored object)
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{state: &state{objects: map[string]map[string]object{}}, era: 1, changed: make(chan struct{})}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Copy returns a copy of the present state.
func (s *Store) Copy() *state {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state.clone()
}

// Leave makes the store unavailable: it ends all calls without a response.
func (s *Store) Leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = true
	s.notify()
}

// Return makes the store available again, from a copy if one is given.
func (s *Store) Return(c *state) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = false
	if c != nil {
		s.state = c.clone()
		s.era++
	}
	s.notify()
}

// Put writes an object as an operator or an upstream does. The revision stays if nothing changes.
func (s *Store) Put(kind, name string, specification, status any) bool {
	spec, _ := json.Marshal(specification)
	stat, _ := json.Marshal(status)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.away {
		return false
	}
	o := s.state.objects[kind][name]
	if o.Metadata.Name != "" && string(o.Specification) == string(spec) && string(o.Status) == string(stat) {
		return true
	}
	o.Metadata.Name, o.Specification, o.Status = name, spec, stat
	s.write(kind, o)
	return true
}

// Remove removes an object as an operator, or the store for an upstream, does.
func (s *Store) Remove(kind, name string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.away {
		return false
	}
	s.remove(kind, name)
	return true
}

// Get returns an object.
func (s *Store) Get(kind, name string) (object, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, ok := s.state.objects[kind][name]
	return o, ok
}

func (s *Store) remove(kind, name string) {
	o, ok := s.state.objects[kind][name]
	if !ok {
		return
	}
	delete(s.state.objects[kind], name)
	s.state.revision++
	o.Metadata.Revision = s.state.revision
	s.record(change{kind, s.state.revision, true, o})
}

func (s *Store) write(kind string, o object) object {
	s.state.revision++
	o.Metadata.Revision = s.state.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.state.revision
	}
	if s.state.objects[kind] == nil {
		s.state.objects[kind] = map[string]object{}
	}
	s.state.objects[kind][o.Metadata.Name] = o
	s.record(change{kind, s.state.revision, false, o})
	return o
}

func (s *Store) record(c change) {
	s.state.history = append(s.state.history, c)
	if excess := len(s.state.history) - historySize; excess > 0 {
		s.state.compacted = s.state.history[excess-1].revision
		s.state.history = s.state.history[excess:]
	}
	s.notify()
}

func (s *Store) isAway() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.away
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || s.isAway() {
		panic(http.ErrAbortHandler)
	}
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch {
	case r.Method != http.MethodGet:
		s.serveWrite(w, r, kind, name, named, body)
	case named:
		s.mutex.Lock()
		o, ok := s.state.objects[kind][name]
		s.mutex.Unlock()
		if !ok {
			s.reply(w, http.StatusNotFound, nil)
			return
		}
		s.reply(w, http.StatusOK, o)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	default:
		s.list(w, kind, r.URL.Query().Get("after"))
	}
}

func (s *Store) reply(w http.ResponseWriter, status int, response any) {
	s.mutex.Lock()
	era := s.era
	s.mutex.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.WriteHeader(status)
	if response != nil {
		_ = json.NewEncoder(w).Encode(response) // fails only if the caller has left
	}
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mutex.Lock()
	names := slices.Sorted(maps.Keys(s.state.objects[kind]))
	items := []object{}
	more := false
	for _, name := range names {
		if name <= after {
			continue
		}
		if len(items) == pageSize {
			more = true
			break
		}
		items = append(items, s.state.objects[kind][name])
	}
	revision := s.state.revision
	s.mutex.Unlock()
	s.reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || waitErr != nil {
		s.reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mutex.Lock()
	era := s.era
	s.mutex.Unlock()
	timer := time.NewTimer(min(maxWait, time.Duration(wait)*time.Millisecond))
	defer timer.Stop()
	for timedOut := false; ; {
		s.mutex.Lock()
		gone := since < s.state.compacted || since > s.state.revision
		ended := s.away || s.era != era
		revision, changed := s.state.revision, s.changed
		events := []any{}
		for _, c := range s.state.history {
			if c.kind == kind && c.revision > since {
				events = append(events, map[string]any{"object": c.object, "removed": c.removed})
			}
		}
		s.mutex.Unlock()
		switch {
		case ended: // the call began before the store went away
			panic(http.ErrAbortHandler)
		case gone:
			s.reply(w, http.StatusGone, nil)
			return
		case len(events) > 0 || timedOut:
			s.reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			timedOut = true
		case <-changed:
		}
	}
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string, named bool, body []byte) {
	status, response := s.apply(r, kind, name, named, body)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	s.reply(w, status, response)
}

// apply carries out a write of the system. Status 0 means that the store is away.
func (s *Store) apply(r *http.Request, kind, name string, named bool, body []byte) (status int, response any) {
	var received object
	if r.Method != http.MethodDelete {
		if err := json.Unmarshal(body, &received); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	name, part, _ := strings.Cut(name, "/")
	if !named {
		name = received.Metadata.Name
	}
	expected := received.Metadata.Revision
	if given, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64); err == nil {
		expected = given
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.away {
		return 0, nil
	}
	stored, exists := s.state.objects[kind][name]
	defer func() {
		if s.OnWrite != nil {
			s.OnWrite(r.Method, kind+"/"+name, expected, status, s.state.objects[kind][name])
		}
	}()
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, stored
	case r.Method != http.MethodPost && !exists:
		return http.StatusNotFound, nil
	case exists && expected != 0 && expected != stored.Metadata.Revision:
		return http.StatusConflict, stored
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, nil
	case part == "status":
		if string(received.Status) == string(stored.Status) {
			return http.StatusOK, stored
		}
		stored.Status = received.Status
		return http.StatusOK, s.write(kind, stored)
	case exists && string(received.Specification) == string(stored.Specification) && slices.Equal(received.Metadata.Finalizers, stored.Metadata.Finalizers):
		return http.StatusOK, stored
	}
	stored.Metadata.Name, stored.Metadata.Finalizers = name, received.Metadata.Finalizers
	stored.Specification = received.Specification
	if !exists {
		stored.Status = received.Status
	}
	return http.StatusOK, s.write(kind, stored)
}
