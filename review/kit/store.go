// SPDX-License-Identifier: Apache-2.0

package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxWatch is the longest time for which a watch waits.
const maxWatch = 30 * time.Second

// item is one value of the store.
type item struct {
	Key      string `json:"tls_key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
}

// Store is a stand-in for the platform's key-value store. It may be used concurrently.
type Store struct {
	server *http.Server
	addr   string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
}

// NewStore starts a store on a free port of an address such as 127.0.0.1.
func NewStore(ip string) (*Store, error) {
	lis, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &Store{
		addr:     lis.Addr().String(),
		revision: 100,
		items:    map[string]item{},
		changed:  make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 5 * time.Second,
	}
	go func() { _ = s.server.Serve(lis) }()
	return s, nil
}

// Addr returns the address of the store.
func (s *Store) Addr() string { return s.addr }

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes a value.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{
		Key:      key,
		Value:    value,
		Revision: s.revision,
		Created:  s.revision,
	}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(it)
}

// PutJSON writes a value as JSON.
func (s *Store) PutJSON(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic("kit: encode a value: " + err.Error())
	}
	s.Put(key, b)
}

// record adds an event and wakes the watches. s.mu is held.
func (s *Store) record(it item) {
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("tls_key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{
		item:          it,
		StoreRevision: revision,
	})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("path_prefix")) && key > q.Get("after") {
			items = append(items, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	answer(w, struct {
		Items    []item `json:"items"`
		More     bool   `json:"more_pages"`
		Revision uint64 `json:"store_revision"`
	}{
		Items:    items,
		Revision: revision,
	})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	limit := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatch))
	defer limit.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.events {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("path_prefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			s.answerWatch(w, events, revision)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			s.answerWatch(w, events, revision)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) answerWatch(w http.ResponseWriter, events []item, revision uint64) {
	answer(w, struct {
		Events   []item `json:"events"`
		Revision uint64 `json:"store_revision"`
	}{
		Events:   events,
		Revision: revision,
	})
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
