package main

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

// storePrefix is the path below which the platform's store serves its objects.
const storePrefix = "/rhubarbtrack/objects/"

const (
	pageSize  = 500
	maxWait   = 30 * time.Second
	heartbeat = 870 * time.Millisecond
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
	object   object
	removed  bool
}

// store is a stand-in for the platform's store.
type store struct {
	mutex    sync.Mutex
	objects  map[string]map[string]object
	revision int64
	history  []change
	changed  chan struct{}
	beats    map[string]time.Time
}

func newStore() *store {
	return &store{objects: map[string]map[string]object{}, revision: 100, changed: make(chan struct{}), beats: map[string]time.Time{}}
}

// put writes an object without a condition, as an operator or an upstream does.
func (s *store) put(kind, name string, specification, status any) {
	spec, _ := json.Marshal(specification)
	stat, _ := json.Marshal(status)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name = name
	s.write(kind, o, spec, stat)
}

func (s *store) get(kind, name string) (object, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

func (s *store) drop(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.record(change{kind, s.revision, o, true})
}

// write stores an object unless it is unchanged. The caller holds the mutex.
func (s *store) write(kind string, o object, spec, status json.RawMessage) object {
	if o.Metadata.Revision != 0 && string(o.Specification) == string(spec) && string(o.Status) == string(status) {
		return o
	}
	s.revision++
	o.Specification, o.Status = spec, status
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.record(change{kind, s.revision, o, false})
	return o
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes entries of servers that were silent for three heartbeat intervals.
func (s *store) expire(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for name, at := range s.beats {
		if now.Sub(at) > 3*heartbeat {
			delete(s.beats, name)
			s.drop("servers", name)
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(4 * time.Millisecond)
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, storePrefix), "/")
	switch {
	case r.Method != http.MethodGet:
		status, o := s.change(r, body)
		reply(w, status, o)
	case named:
		o, ok := s.get(kind, name)
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	default:
		s.list(w, r, kind)
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	data, _ := json.Marshal(value)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mutex.Lock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(maxWait, time.Duration(wait)*time.Millisecond))
	defer timer.Stop()
	for over := false; ; {
		s.mutex.Lock()
		revision, changed := s.revision, s.changed
		events := []any{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision > since })
		for _, c := range s.history[first:] {
			if c.kind == kind {
				events = append(events, map[string]any{"object": c.object, "removed": c.removed})
			}
		}
		s.mutex.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			over = true
		case <-changed:
		}
	}
}

// change carries out a POST, PUT or DELETE.
func (s *store) change(r *http.Request, body []byte) (int, any) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, storePrefix), "/")
	var sent object
	if len(body) > 0 {
		if err := json.Unmarshal(body, &sent); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	if revision, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64); err == nil {
		sent.Metadata.Revision = revision
	}
	kind, name := parts[0], sent.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, current
	case r.Method != http.MethodPost && !exists:
		return http.StatusNotFound, nil
	case r.Method != http.MethodPost && sent.Metadata.Revision != 0 && sent.Metadata.Revision != current.Metadata.Revision:
		return http.StatusConflict, current
	}
	switch {
	case r.Method == http.MethodDelete:
		s.drop(kind, name)
		return http.StatusOK, current
	case len(parts) > 2: // /status
		return http.StatusOK, s.write(kind, current, current.Specification, sent.Status)
	case r.Method == http.MethodPost:
		current.Metadata.Name = name
		return http.StatusCreated, s.write(kind, current, sent.Specification, sent.Status)
	}
	return http.StatusOK, s.write(kind, current, sent.Specification, current.Status)
}
