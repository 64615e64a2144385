// SPDX-License-Identifier: Apache-2.0

// Package target is a stand-in target for tests and the quick start. It records the
// requests that it ran and simulates gray failures.
package target

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the contract between targets and the fleet.
const (
	headerRequestID = "Plover-Request-Id"
	headerOutcome   = "Plover-Outcome"
	headerDeadline  = "Plover-Deadline"
	headerState     = "Plover-State"
	headerLimit     = "Plover-Limit"
	headerLoad      = "Plover-Load"
	headerWorkspace = "Plover-Workspace"
	// HeaderKey identifies a request in the record of runs; tests set it.
	HeaderKey = "Test-Key"
)

// Mode is the simulated behavior of a target. The zero value is a healthy target.
type Mode struct {
	// Latency is how long a request occupies a slot.
	Latency time.Duration `json:"latency"`
	// Stall runs requests and never answers them.
	Stall bool `json:"stall"`
	// ErrorShare is the fraction of requests that get status 500 after they ran.
	ErrorShare float64 `json:"error_share"`
	// Shed refuses requests before running them.
	Shed bool `json:"shed"`
	// RejectShare is the fraction of requests that are refused like those of Shed.
	RejectShare float64 `json:"reject_share"`
	// Backoff is the backoff sent with the refusals of Shed.
	Backoff time.Duration `json:"rest"`
	// Draining signals draining in all answers; the target still runs requests.
	Draining bool `json:"leaving"`
	// Limit is sent in all answers as the requests per second that the target accepts from
	// the whole fleet; "" sends none. The target doesn't enforce it.
	Limit string `json:"limit"`
	// ReportLoad sends the load in all answers: requests that run, bodies that are still being read
	// included, those that wait for a slot, and the slots. Load is sent instead unless it is "".
	ReportLoad bool   `json:"report_load"`
	Load       string `json:"load"`
	// ResetBefore closes connections before requests run, ResetAfter after that.
	ResetBefore bool `json:"reset_before"`
	ResetAfter  bool `json:"reset_after"`
	// CutAfter truncates bodies after so many bytes; 0 means never.
	CutAfter int64 `json:"cut_after"`
	// StallAfter stalls bodies after so many bytes; 0 means never.
	StallAfter int64 `json:"stall_after"`
	// Swap returns the ID of another request.
	Swap bool `json:"swap"`
	// Unframed sends bodies that are delimited by the close of the connection.
	Unframed bool `json:"unframed"`
	// ProbeDelay is the latency of the health endpoint.
	ProbeDelay time.Duration `json:"probe_delay"`
	// ChunkDelay is the time between two chunks of a body.
	ChunkDelay time.Duration `json:"chunk_delay"`
	// AnswerAfter answers requests after so many bytes of their bodies, with AnswerStatus, or 200 if that is 0, and
	// reads on after ReadPause; 0 means never.
	AnswerAfter  int64         `json:"answer_after"`
	AnswerStatus int           `json:"answer_status"`
	ReadPause    time.Duration `json:"read_pause"`
}

// Run is one request that a target ran.
type Run struct {
	Key  string    `json:"key"`
	ID   string    `json:"id"`
	Path string    `json:"path"`
	At   time.Time `json:"at"`
	// Deadline is the deadline sent with the request; zero means none.
	Deadline time.Time `json:"deadline"`
	// Workspace is the workspace of the request. Authorized is set if the request carried a
	// key, which must never reach a target.
	Workspace  string `json:"workspace"`
	Authorized bool   `json:"authorized"`
}

// Arrival is one request that reached a target, run or not, and the signals in its answer.
type Arrival struct {
	Key string
	// ID is the request ID, which is the same in all attempts at a request.
	ID       string
	At       time.Time
	Draining bool
	Backoff  time.Duration
	Limit    string
	// Hops is the number of nodes that passed the request on, by its Via header; 0 if there is none.
	Hops int
}

// Target is the stand-in. It may be used concurrently.
type Target struct {
	name       string
	slots      chan struct{}
	mode       atomic.Pointer[Mode]
	crash      atomic.Pointer[func()]
	inFlight   atomic.Int64
	waiting    atomic.Int64
	requests   atomic.Int64
	mu         sync.Mutex
	runs       []Run
	arrivals   []Arrival
	uploads    []Upload
	lastHeader http.Header
}

// New returns a healthy target with the given number of slots.
func New(name string, slots int) *Target {
	t := &Target{
		name:  name,
		slots: make(chan struct{}, slots),
	}
	t.mode.Store(&Mode{})
	return t
}

// Name returns the name given to New.
func (t *Target) Name() string { return t.name }

// SetMode sets the behavior from the next request on.
func (t *Target) SetMode(m Mode) { t.mode.Store(&m) }

// SetCrash sets the function that crashes the target: a request whose query has "ends" calls
// it as soon as it runs.
func (t *Target) SetCrash(crash func()) { t.crash.Store(&crash) }

// Requests returns the number of requests received, run or not.
func (t *Target) Requests() int64 { return t.requests.Load() }

// Runs returns the requests that ran.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Arrivals returns the requests that reached the target.
func (t *Target) Arrivals() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Arrival(nil), t.arrivals...)
}

// recordArrival records a request that reached the target.
func (t *Target) recordArrival(r *http.Request, m *Mode) {
	a := Arrival{
		Key:      r.Header.Get(HeaderKey),
		ID:       r.Header.Get(headerRequestID),
		At:       time.Now(),
		Draining: m.Draining,
		Limit:    m.Limit,
		Hops:     len(r.Header.Values("Via")),
	}
	if m.Shed {
		a.Backoff = m.Backoff
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals = append(t.arrivals, a)
}

// LastHeader returns the header of the request that ran last.
func (t *Target) LastHeader() http.Header {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastHeader
}

// Handler serves requests, /health, /load and test control below /admin/.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", t.health)
	mux.HandleFunc("GET /load", t.load)
	mux.HandleFunc("POST /admin/mode", t.adminMode)
	mux.HandleFunc("GET /admin/runs", t.adminRuns)
	mux.HandleFunc("/", t.serve)
	return mux
}

func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	m := t.mode.Load()
	time.Sleep(m.ProbeDelay)
	t.setState(w, m)
	t.setLoad(w, m)
	w.WriteHeader(http.StatusOK)
}

func (t *Target) setState(w http.ResponseWriter, m *Mode) {
	if m.Draining {
		w.Header().Set(headerState, "leaving")
	}
	if m.Limit != "" {
		w.Header().Set(headerLimit, m.Limit)
	}
}

// setLoad sets the header with the load at this moment.
func (t *Target) setLoad(w http.ResponseWriter, m *Mode) {
	switch {
	case m.Load != "":
		w.Header().Set(headerLoad, m.Load)
	case m.ReportLoad:
		waiting := t.waiting.Load()
		w.Header().Set(headerLoad, fmt.Sprintf("%d,%d,%d", max(t.inFlight.Load()-waiting, 0), waiting, cap(t.slots)))
	}
}

func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(struct {
		InFlight int64 `json:"in_flight"`
		Slots    int   `json:"slots"`
	}{
		InFlight: t.inFlight.Load(),
		Slots:    cap(t.slots),
	})
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	m := t.mode.Load().forRequest(r)
	t.requests.Add(1)
	t.recordArrival(r, m)
	t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	t.setState(w, m)
	if m.ResetBefore {
		panic(http.ErrAbortHandler)
	}
	if m.Shed && m.Backoff > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(m.Backoff.Seconds(), 'f', -1, 64))
	}
	if m.Shed || pastDeadline(r, time.Now()) {
		t.setLoad(w, m)
		refuse(w, r)
		return
	}
	if m.AnswerAfter > 0 && r.ContentLength != 0 {
		t.answerEarly(w, r, m)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !t.takeSlot(r) {
		return
	}
	defer func() { <-t.slots }()
	// One reading of the clock: the target may be delayed between two.
	now := time.Now()
	if pastDeadline(r, now) {
		t.setLoad(w, m)
		refuse(w, r)
		return
	}
	t.recordRun(r, now)
	if crash := t.crash.Load(); crash != nil && r.URL.Query().Has("ends") {
		(*crash)()
		panic(http.ErrAbortHandler)
	}
	if m.Stall {
		<-r.Context().Done()
		return
	}
	sleep(r, m.Latency)
	t.writeAnswer(w, r, m, body)
}

// takeSlot waits for a slot and reports whether the request got one before its caller left.
func (t *Target) takeSlot(r *http.Request) bool {
	t.waiting.Add(1)
	defer t.waiting.Add(-1)
	select {
	case t.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// deadline returns the deadline in the request's header, or zero.
func deadline(r *http.Request) time.Time {
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

func pastDeadline(r *http.Request, now time.Time) bool {
	d := deadline(r)
	return !d.IsZero() && !now.Before(d)
}

func refuse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	w.Header().Set(headerOutcome, "not-run")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (t *Target) recordRun(r *http.Request, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastHeader = r.Header.Clone()
	t.runs = append(t.runs, Run{
		Workspace:  r.Header.Get(headerWorkspace),
		Authorized: r.Header.Get("Authorization") != "",
		Key:        r.Header.Get(HeaderKey),
		ID:         r.Header.Get(headerRequestID),
		Path:       r.URL.Path,
		At:         now,
		Deadline:   deadline(r),
	})
}

func sleep(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func (t *Target) writeAnswer(w http.ResponseWriter, r *http.Request, m *Mode, body []byte) {
	if m.ResetAfter {
		panic(http.ErrAbortHandler)
	}
	t.setLoad(w, m)
	if rand.Float64() < m.ErrorShare {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	id := r.Header.Get(headerRequestID)
	if m.Swap {
		id = "another-request"
	}
	w.Header().Set(headerRequestID, id)
	content := Echo(r.Method, r.URL.Path, r.Header.Get(HeaderKey), body)
	if size, err := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64); err == nil {
		content = Document(r.URL.Path, size)
		w.Header().Set("Etag", fmt.Sprintf(`"%s-%d"`, r.URL.Path, size))
		w.Header().Set("Content-Type", "application/pdf")
	}
	if m.Unframed {
		sendUnframed(w, content)
		return
	}
	if m.CutAfter > 0 || m.StallAfter > 0 || m.ChunkDelay > 0 {
		w = &faultyWriter{
			ResponseWriter: w,
			request:        r,
			mode:           m,
		}
	}
	if r.URL.Query().Has("chunked") {
		// Without a length net/http uses chunked encoding.
		_, _ = w.Write(content)
		return
	}
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(content))
}

// Echo returns the body of the answer to a request.
func Echo(method, path, key string, body []byte) []byte {
	return fmt.Appendf(nil, "%s %s key=%s body=%s\n", method, path, key, body)
}

func (t *Target) adminMode(w http.ResponseWriter, r *http.Request) {
	var m Mode
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetMode(m)
	w.WriteHeader(http.StatusNoContent)
}

func (t *Target) adminRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(t.Runs())
}

// InFlight returns the number of requests that run or wait for a slot.
func (t *Target) InFlight() int64 { return t.inFlight.Load() }
