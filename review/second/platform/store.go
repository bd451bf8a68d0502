package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeDelay is the time of an answer of the platform's store, as the sheets state it.
	storeDelay = 4 * time.Millisecond
	// maxWatch is the longest wait of a watch.
	maxWatch = 30 * time.Second
)

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name           string   `json:"name"`
	Rev            int64    `json:"rev"`
	CreateRevision int64    `json:"create_revision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

// event is a change of an object.
type event struct {
	kind    string
	rev     int64
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

// store is a stand-in of the platform's metadata store. It is linearizable and keeps its whole
// history.
type store struct {
	addr string
	http *http.Server

	mu      sync.Mutex
	rev     int64
	objects map[string]map[string]object
	events  []event
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: ln.Addr().String(), rev: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
	s.http = &http.Server{Handler: s}
	go s.http.Serve(ln)
	return s, nil
}

func (s *store) close() { s.http.Close() }

// put writes the spec of an object, as the operator and the workers do.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
}

// write writes the spec of an object. The caller holds mu.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	old, exists := s.objects[kind][name]
	if exists && string(old.Spec) == string(spec) {
		return old
	}
	s.rev++
	o := object{Metadata: metadata{Name: name, Rev: s.rev, CreateRevision: s.rev, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if exists {
		o.Metadata.CreateRevision, o.Status = old.Metadata.CreateRevision, old.Status
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.record(event{kind: kind, rev: s.rev, Object: o})
	return o
}

// remove deletes an object and reports whether it existed.
func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	s.rev++
	delete(s.objects[kind], name)
	s.record(event{kind: kind, rev: s.rev, Object: o, Removed: true})
	return true
}

// record adds an event and wakes the watches. The caller holds mu.
func (s *store) record(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers a call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/lycheepond/objects/"), "/")
	w.Header().Set("Content-Type", "application/json")
	switch r.Method {
	case http.MethodGet:
		if since, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64); err == nil {
			s.watch(r.Context(), w, kind, since, r.URL.Query().Get("wait_ms"))
			return
		}
		s.read(w, kind, name)
	case http.MethodPost, http.MethodPut:
		s.change(w, r, kind, name)
	case http.MethodDelete:
		if !s.remove(kind, name) {
			w.WriteHeader(http.StatusNotFound)
		}
		w.Write([]byte("{}"))
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// read answers with one object or with all objects of a kind.
func (s *store) read(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		o, ok := s.objects[kind][name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		json.NewEncoder(w).Encode(o)
		return
	}
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "at": s.rev})
}

// watch answers with the changes of a kind after a revision, and waits for the first one.
func (s *store) watch(ctx context.Context, w http.ResponseWriter, kind string, since int64, waitText string) {
	ms, _ := strconv.Atoi(waitText)
	ctx, cancel := context.WithTimeout(ctx, min(time.Duration(ms)*time.Millisecond, maxWatch))
	defer cancel()
	for {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.rev > since {
				found = append(found, e)
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(found) > 0 || ctx.Err() != nil {
			json.NewEncoder(w).Encode(map[string]any{"events": found, "at": at})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// change creates or replaces an object, or replaces its status.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name, isStatus := strings.CutSuffix(name, "/status")
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && in.Metadata.Rev != 0 && in.Metadata.Rev != old.Metadata.Rev:
		w.WriteHeader(http.StatusConflict)
		json.NewEncoder(w).Encode(old)
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	case isStatus:
		s.rev++
		old.Status, old.Metadata.Rev = in.Status, s.rev
		s.objects[kind][name] = old
		s.record(event{kind: kind, rev: s.rev, Object: old})
		json.NewEncoder(w).Encode(old)
	default:
		json.NewEncoder(w).Encode(s.write(kind, name, in.Spec))
	}
}
