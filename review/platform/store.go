package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is how long the store takes for an answer, as on the site sheets.
const storeLatency = 4 * time.Millisecond

// store stands in for the platform's store.
type store struct {
	url string

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
	// slow holds how long answers take, by kind, instead of storeLatency.
	slow map[string]time.Duration
}

type object struct {
	Metadata map[string]any  `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision int64
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

func newStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{url: "http://" + ln.Addr().String(), revision: 500, objects: make(map[string]map[string]object), changed: make(chan struct{}), slow: make(map[string]time.Duration)}
	go http.Serve(ln, s)
	return s, nil
}

// put writes the spec of an object.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
}

// write is put for callers that hold mu.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	old, ok := s.objects[kind][name]
	if ok && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := object{Metadata: map[string]any{"name": name, "rev": s.revision, "create_revision": s.revision}, Spec: spec}
	if ok {
		o.Metadata["create_revision"], o.Status = old.Metadata["create_revision"], old.Status
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.add(event{kind: kind, revision: s.revision, Object: o})
	return o
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.revision++
		delete(s.objects[kind], name)
		s.add(event{kind: kind, revision: s.revision, Object: o, Removed: true})
	}
}

func (s *store) add(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) latency(kind string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.slow[kind]; d > 0 {
		return d
	}
	return storeLatency
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/lycheepond/objects/"), "/")
	time.Sleep(s.latency(kind))
	w.Header().Set("Content-Type", "application/json")
	switch since := r.URL.Query().Get("watch"); {
	case r.Method == http.MethodGet && since != "":
		s.serveWatch(w, r, kind, since)
	case r.Method == http.MethodGet:
		s.serveRead(w, kind, name)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		w.Write([]byte("{}"))
	default:
		s.serveWrite(w, r, kind, name)
	}
}

func (s *store) serveRead(w http.ResponseWriter, kind, name string) {
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
	json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "at": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind, sinceText string) {
	since, _ := strconv.ParseInt(sinceText, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				found = append(found, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			json.NewEncoder(w).Encode(map[string]any{"events": found, "at": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			json.NewEncoder(w).Encode(map[string]any{"events": found, "at": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		w.WriteHeader(http.StatusConflict)
		json.NewEncoder(w).Encode(s.objects[kind][name])
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	default:
		json.NewEncoder(w).Encode(s.write(kind, name, o.Spec))
	}
}
