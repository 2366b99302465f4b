package lab

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	objectsPath = "/rhubarbtrack/objects/"
	maxWatch    = 30 * time.Second
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

type event struct {
	kind     string
	revision int64
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

// Store is a stand-in for the platform's store. It keeps its whole history and never fails. It is an http.Handler and safe
// for concurrent use.
type Store struct {
	mutex    sync.Mutex
	objects  map[string]map[string]object
	history  []event
	revision int64
	changed  chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]map[string]object{}, revision: 1, changed: make(chan struct{})}
}

// Put writes an object as the operator or an upstream does. Nothing changes if the stored one is equal.
func (s *Store) Put(kind, name string, specification, status any) {
	spec, err := json.Marshal(specification)
	if err != nil {
		panic(err)
	}
	state, err := json.Marshal(status)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, exists := s.objects[kind][name]
	if exists && string(o.Specification) == string(spec) && string(o.Status) == string(state) {
		return
	}
	o.Metadata.Name, o.Specification, o.Status = name, spec, state
	s.save(kind, o)
}

// Delete removes an object, if it exists.
func (s *Store) Delete(kind, name string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, exists := s.objects[kind][name]
	if !exists {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.record(event{kind, s.revision, o, true})
	return true
}

func (s *Store) save(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.record(event{kind, s.revision, o, false})
	return o
}

func (s *Store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	switch {
	case r.Method != http.MethodGet:
		s.write(w, r, kind, name, isStatus, body)
	case named:
		s.get(w, kind, name)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	default:
		s.list(w, kind)
	}
}

func reply(w http.ResponseWriter, status int, response any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(response) // fails only if the caller has disconnected
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mutex.Lock()
	o, exists := s.objects[kind][name]
	s.mutex.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *Store) list(w http.ResponseWriter, kind string) {
	s.mutex.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(maxWatch, time.Duration(wait)*time.Millisecond))
	defer timer.Stop()
	for timedOut := false; ; {
		s.mutex.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 || timedOut {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
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

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool, body []byte) {
	if r.Method == http.MethodDelete {
		if !s.Delete(kind, name) {
			w.WriteHeader(http.StatusNotFound)
		}
		return
	}
	var received object
	if err := json.Unmarshal(body, &received); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = received.Metadata.Name
	}
	s.mutex.Lock()
	stored, exists := s.objects[kind][name]
	status := http.StatusOK
	switch {
	case r.Method == http.MethodPost && exists:
		status = http.StatusConflict
	case r.Method == http.MethodPut && !exists:
		status = http.StatusNotFound
	case r.Method == http.MethodPut && received.Metadata.Revision != 0 && received.Metadata.Revision != stored.Metadata.Revision:
		status = http.StatusConflict
	case isStatus && string(received.Status) != string(stored.Status):
		stored.Status = received.Status
		stored = s.save(kind, stored)
	case !isStatus && string(received.Specification) != string(stored.Specification):
		stored.Metadata.Name, stored.Specification = name, received.Specification
		stored = s.save(kind, stored)
	}
	s.mutex.Unlock()
	reply(w, status, stored)
}
