// SPDX-License-Identifier: Apache-2.0

package entry_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/contract"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// signalTarget is a test target that counts its requests.
type signalTarget struct {
	choice  entry.Choice
	arrived atomic.Int64
}

func newSignalTarget(t *testing.T, key string, serve http.HandlerFunc) *signalTarget {
	t.Helper()
	s := &signalTarget{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.arrived.Add(1)
		serve(w, r)
	}))
	t.Cleanup(srv.Close)
	s.choice = entry.Choice{
		Address: srv.Listener.Addr().String(),
		Key:     key,
		Incarnation: signal.Incarnation{
			Service: "quotes",
			Key:     key,
			Name:    key,
			Named:   true,
		},
		Done: func(outlier.Result, time.Duration) {},
	}
	return s
}

// choices returns its targets in order, and then the last one repeatedly.
type choices struct {
	mu   sync.Mutex
	list []*signalTarget
	// before is called before each choice, with its number.
	before  func(n int)
	queries []*entry.Query
}

func (c *choices) choose(_ context.Context, q *entry.Query) (entry.Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.queries)
	c.queries = append(c.queries, q)
	c.before(n)
	return c.list[min(n, len(c.list)-1)].choice, nil
}

// signalSite returns a site that records signals in a ledger and chooses targets from c.
func signalSite(t *testing.T, ledger *signal.Ledger, c *choices) *testSite {
	t.Helper()
	return newSite(t, func(cfg *entry.Config) {
		cfg.Signals = ledger
		cfg.Choose = c.choose
	})
}

func serveOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }

func observeDraining(l *signal.Ledger, s *signalTarget) {
	l.Observe(time.Now(), s.choice.Incarnation, signal.Signal{
		Draining: true,
	})
}

var brokers = http.Header{
	"Authorization": {"Bearer " + keyBrokers},
}

// A target may signal draining between the choice and the first byte. Nothing is sent then, and the
// next target gets the request as a first attempt, at no cost to the retry budget.
func TestDrainingTargetGetsNoGrantedRequest(t *testing.T) {
	ledger := &signal.Ledger{}
	draining, other := newSignalTarget(t, "left", serveOK), newSignalTarget(t, "other", serveOK)
	c := &choices{
		list: []*signalTarget{draining, other},
		before: func(n int) {
			if n == 0 {
				observeDraining(ledger, draining)
			}
		},
	}
	s := signalSite(t, ledger, c)
	if status := s.get(t, http.DefaultClient, "/quotes/1", brokers); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if n := draining.arrived.Load(); n != 0 {
		t.Errorf("%d requests reached the draining target", n)
	}
	if len(c.queries) != 2 || c.queries[1].Retry || !c.queries[1].Replacement || len(c.queries[1].Tried) != 0 {
		t.Errorf("%d choices, or the second one is a retry or counts again", len(c.queries))
	}
}

// A request whose choices are all unavailable ends after maxTries attempts.
func TestRequestEndsIfAllChoicesAreDraining(t *testing.T) {
	ledger := &signal.Ledger{}
	draining := newSignalTarget(t, "left", serveOK)
	observeDraining(ledger, draining)
	c := &choices{
		list:   []*signalTarget{draining},
		before: func(int) {},
	}
	s := signalSite(t, ledger, c)
	if status := s.get(t, http.DefaultClient, "/quotes/1", brokers); status != http.StatusServiceUnavailable {
		t.Errorf("status %d", status)
	}
	if n := draining.arrived.Load(); n != 0 {
		t.Errorf("%d requests reached the draining target", n)
	}
}

// A hedge skips a draining target.
func TestHedgeIsNotSentToDrainingTarget(t *testing.T) {
	ledger := &signal.Ledger{}
	slow := newSignalTarget(t, "slow", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	draining, other := newSignalTarget(t, "left", serveOK), newSignalTarget(t, "other", serveOK)
	slow.choice.HedgeAfter = time.Millisecond
	observeDraining(ledger, draining)
	c := &choices{
		list:   []*signalTarget{slow, draining, other},
		before: func(int) {},
	}
	s := signalSite(t, ledger, c)
	if status := s.get(t, http.DefaultClient, "/quotes/1", brokers); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if n := draining.arrived.Load(); n != 0 {
		t.Errorf("%d requests reached the draining target", n)
	}
}

// A download whose target breaks the connection is not resumed at a draining target.
func TestResumedDownloadIsNotSentToDrainingTarget(t *testing.T) {
	const size = 200 << 10
	content := bytes.Repeat([]byte("document"), size/8)
	serve := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Etag", `"v1"`)
		http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(content))
	}
	ledger := &signal.Ledger{}
	cut := newSignalTarget(t, "cut", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Etag", `"v1"`)
		w.Header().Set("Accept-Ranges", "bytes")
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(content[:size/2])
		panic(http.ErrAbortHandler)
	})
	draining, other := newSignalTarget(t, "left", serve), newSignalTarget(t, "other", serve)
	c := &choices{
		list: []*signalTarget{cut, draining, other},
		before: func(n int) {
			if n == 1 {
				observeDraining(ledger, draining)
			}
		},
	}
	s := signalSite(t, ledger, c)
	r, err := http.NewRequest(http.MethodGet, s.url+"/quotes/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header = brokers.Clone()
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	if err != nil || !bytes.Equal(got, content) {
		t.Errorf("%d bytes, error %v", len(got), err)
	}
	if n := draining.arrived.Load(); n != 0 || other.arrived.Load() != 1 {
		t.Errorf("%d requests reached the draining target, %d the other", n, other.arrived.Load())
	}
}

// A trial request is not sent to a draining target.
func TestTrialRequestIsNotSentToDrainingTarget(t *testing.T) {
	ledger := &signal.Ledger{}
	draining, other := newSignalTarget(t, "left", serveOK), newSignalTarget(t, "other", serveOK)
	observeDraining(ledger, draining)
	done := make(chan outlier.Result, 1)
	draining.choice.Done = func(end outlier.Result, _ time.Duration) { done <- end }
	c := &choices{
		list:   []*signalTarget{other},
		before: func(int) {},
	}
	s := newSite(t, func(cfg *entry.Config) {
		cfg.Signals = ledger
		cfg.Choose = c.choose
		cfg.Trial = func(*fleetconfig.Service) (entry.Choice, bool) { return draining.choice, true }
	})
	if status := s.get(t, http.DefaultClient, "/quotes/1", brokers); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if end := <-done; !end.Ignored {
		t.Errorf("the trial request was not sent but counts: %+v", end)
	}
	if n := draining.arrived.Load(); n != 0 {
		t.Errorf("%d copies reached the draining target", n)
	}
}

// The signal in any answer is recorded, also in a failure, a refusal and an answer to another
// request, but not where another process answers.
func TestAnyAnswerSignalIsRecorded(t *testing.T) {
	tests := []struct {
		name   string
		status int
		header map[string]string
		want   bool
	}{
		{
			name:   "good",
			status: http.StatusOK,
			want:   true,
		},
		{
			name:   "failure",
			status: http.StatusInternalServerError,
			want:   true,
		},
		{
			name:   "load shed",
			status: http.StatusServiceUnavailable,
			header: map[string]string{
				"Plover-Outcome": "not-run",
			},
			want: true,
		},
		{
			name:   "to another request",
			status: http.StatusOK,
			header: map[string]string{
				"Plover-Request-Id": "another",
			},
			want: true,
		},
		{
			name:   "answer of another process",
			status: http.StatusMisdirectedRequest,
			header: map[string]string{
				"Plover-Outcome": "not-run",
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ledger := &signal.Ledger{}
			target := newSignalTarget(t, "t", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Plover-State", "leaving")
				for name, value := range tt.header {
					w.Header().Set(name, value)
				}
				w.WriteHeader(tt.status)
			})
			c := &choices{
				list:   []*signalTarget{target},
				before: func(int) {},
			}
			s := signalSite(t, ledger, c)
			s.get(t, http.DefaultClient, "/quotes/1", brokers)
			if got := ledger.Status(time.Now(), target.choice.Incarnation).Draining; got != tt.want {
				t.Errorf("draining %v, want %v", got, tt.want)
			}
		})
	}
}

// The load in an answer belongs to the attempt that got it: guards against an end of an attempt that
// reports no load, or that of another one.
func TestAttemptReceivesItsLoad(t *testing.T) {
	ledger := &signal.Ledger{}
	var loads []signal.Load
	reporting := newSignalTarget(t, "reporting", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Plover-Load", "3,1,8")
		serveOK(w, r)
	})
	reporting.choice.Reported = func(load signal.Load) { loads = append(loads, load) }
	ended := make(chan int, 1)
	reporting.choice.Done = func(outlier.Result, time.Duration) { ended <- len(loads) }
	c := &choices{
		list:   []*signalTarget{reporting},
		before: func(int) {},
	}
	s := signalSite(t, ledger, c)
	if status := s.get(t, http.DefaultClient, "/quotes/1", brokers); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	want := signal.Load{
		Running: 3,
		Waiting: 1,
		Slots:   8,
	}
	if n := <-ended; n != 1 || loads[0] != want {
		t.Errorf("%d loads before the end: %+v", n, loads)
	}
	if got := ledger.Status(time.Now(), reporting.choice.Incarnation); got.Load != want || got.Unavailable() {
		t.Errorf("status %+v", got)
	}
}

// Guards against a log line that names a signal where nothing readable was signalled, and against one for each
// response that can't be read.
func TestUnreadableSignalIsLoggedOnce(t *testing.T) {
	for _, header := range []string{contract.HeaderLoad, contract.HeaderLimit} {
		ledger := &signal.Ledger{}
		target := newSignalTarget(t, "target", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(header, "nonsense")
			serveOK(w, r)
		})
		s := signalSite(t, ledger, &choices{
			list:   []*signalTarget{target},
			before: func(int) {},
		})
		for range 3 {
			s.get(t, http.DefaultClient, "/quotes/1", brokers)
			ledger.Prune(time.Now(), func(signal.Incarnation) bool { return true })
		}
		unreadable, signalled := strings.Count(s.logged(), "can't be read"), strings.Count(s.logged(), "says what it wants")
		if unreadable != 1 || signalled != 0 {
			t.Errorf("%s: %d lines on what can't be read, want 1; %d on signals, want 0", header, unreadable, signalled)
		}
	}
}
