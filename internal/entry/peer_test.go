// SPDX-License-Identifier: Apache-2.0

package entry_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/signal"
)

var errLost = errors.New("connection lost")

// peerAnswer is what a simulated peer does with a request.
type peerAnswer func(r *http.Request) (*http.Response, error)

func peerServes(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode:    http.StatusOK,
		Header:        http.Header{},
		Body:          io.NopCloser(strings.NewReader("answer")),
		ContentLength: 6,
		Request:       r,
	}, nil
}

func peerUnable(*http.Request) (*http.Response, error) {
	return nil, &forward.ViaError{
		Cause: errLost,
	}
}

func peerLost(*http.Request) (*http.Response, error) {
	return nil, &forward.ViaError{
		Accepted: true,
		Cause:    errLost,
	}
}

func peerRefuses(*http.Request) (*http.Response, error) {
	return nil, &forward.ViaError{
		Accepted: true,
		Cause: &entry.PeerRefusal{
			Code:       entry.CodeNoTarget,
			Status:     http.StatusServiceUnavailable,
			Outcome:    attempt.OutcomeNotRun,
			RetryAfter: 2 * time.Second,
		},
	}
}

// peerRefusesWithoutTime refuses with no retry time, as a peer does whose time is below a millisecond.
func peerRefusesWithoutTime(*http.Request) (*http.Response, error) {
	return nil, &forward.ViaError{
		Accepted: true,
		Cause: &entry.PeerRefusal{
			Code:    entry.CodeNoTarget,
			Status:  http.StatusServiceUnavailable,
			Outcome: attempt.OutcomeNotRun,
		},
	}
}

// peerSite is a site that reaches no target and asks the peers of answers, in turn.
type peerSite struct {
	*testSite
	direct *choices
	heads  []*entry.PeerHead
	keys   []string
	unable int
}

func newPeerSite(t *testing.T, answers ...peerAnswer) *peerSite {
	t.Helper()
	p := &peerSite{}
	down := newSignalTarget(t, "down", serveOK)
	down.choice.Address = closedAddress(t)
	p.direct = &choices{
		list:   []*signalTarget{down},
		before: func(int) {},
	}
	p.testSite = newSite(t, func(cfg *entry.Config) {
		cfg.Signals = &signal.Ledger{}
		cfg.Choose = p.direct.choose
		cfg.PathTargets = func(string) []string { return []string{down.choice.Address} }
		cfg.PeerUnable = func(string, string) { p.unable++ }
		cfg.Peers = func(_ string, n int) []entry.Peer {
			var out []entry.Peer
			for _, answer := range answers[min(len(p.heads), len(answers)):] {
				out = append(out, entry.Peer{
					Forward: func(r *http.Request, h *entry.PeerHead) (*http.Response, error) {
						p.heads = append(p.heads, h)
						p.keys = append(p.keys, r.Header.Get("Authorization"))
						return answer(r)
					},
				})
			}
			return out[:min(n, len(out))]
		}
	})
	return p
}

// A request whose node reaches no target must be answered by a peer, must not run twice if it may not
// be repeated, and must not be said not to have run if it may have. A refusal must have a retry time.
func TestAttemptsAtPeers(t *testing.T) {
	const (
		repeatable    = "/quotes/1"
		nonRepeatable = "/open/1"
	)
	tests := []struct {
		name    string
		path    string
		answers []peerAnswer
		status  int
		outcome string
		asked   int
		unable  int
		// runs is what the last peer is told of attempts before.
		runs int
	}{
		{
			name:    "served",
			path:    nonRepeatable,
			answers: []peerAnswer{peerServes, peerServes},
			status:  http.StatusOK,
			outcome: "done",
			asked:   1,
		},
		{
			name:    "served by the second",
			path:    nonRepeatable,
			answers: []peerAnswer{peerUnable, peerServes},
			status:  http.StatusOK,
			outcome: "done",
			asked:   2,
			unable:  1,
		},
		{
			name:    "refused",
			path:    nonRepeatable,
			answers: []peerAnswer{peerRefuses, peerServes},
			status:  http.StatusServiceUnavailable,
			outcome: "not-run",
			asked:   1,
		},
		{
			name:    "refused without a retry time",
			path:    nonRepeatable,
			answers: []peerAnswer{peerRefusesWithoutTime, peerServes},
			status:  http.StatusServiceUnavailable,
			outcome: "not-run",
			asked:   1,
		},
		{
			name:    "lost, not repeatable",
			path:    nonRepeatable,
			answers: []peerAnswer{peerLost, peerServes},
			status:  http.StatusBadGateway,
			outcome: "unknown",
			asked:   1,
		},
		{
			name:    "lost, repeatable",
			path:    repeatable,
			answers: []peerAnswer{peerLost, peerServes},
			status:  http.StatusOK,
			outcome: "done",
			asked:   2,
			runs:    1,
		},
		{
			name:    "lost, then refused",
			path:    repeatable,
			answers: []peerAnswer{peerLost, peerRefuses},
			status:  http.StatusBadGateway,
			outcome: "unknown",
			asked:   2,
			runs:    1,
		},
		{
			name:    "no peer is able",
			path:    nonRepeatable,
			answers: []peerAnswer{peerUnable, peerUnable},
			status:  http.StatusServiceUnavailable,
			outcome: "not-run",
			asked:   2,
			unable:  2,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPeerSite(t, tt.answers...)
			res, err := http.DefaultClient.Do(request(t, p.url+tt.path))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = res.Body.Close() }()
			if got := res.Header.Get("Plover-Outcome"); res.StatusCode != tt.status || got != tt.outcome {
				t.Errorf("status %d, outcome %q", res.StatusCode, got)
			}
			if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get("Retry-After") == "" {
				t.Error("refused without Retry-After")
			}
			if len(p.heads) != tt.asked || p.unable != tt.unable {
				t.Fatalf("%d peers asked, %d unable", len(p.heads), p.unable)
			}
			last := p.heads[len(p.heads)-1]
			if last.Runs != tt.runs || last.Service != "quotes" || !last.Deadline.After(time.Now()) || last.ID == "" {
				t.Errorf("the last peer got %+v", last)
			}
			if last.NonRepeatable != (tt.path == nonRepeatable) {
				t.Errorf("the peer was told that a request to %s is not repeatable: %v", tt.path, last.NonRepeatable)
			}
			if len(last.Avoid) != 0 {
				t.Errorf("the peer must avoid %v, which this node did not reach", last.Avoid)
			}
			if !p.heads[0].Counted {
				t.Error("the first attempt at a peer counts again in the retry budget")
			}
			if p.keys[0] != brokers.Get("Authorization") {
				t.Errorf("the peer got the credential %q", p.keys[0])
			}
		})
	}
}

func request(t *testing.T, url string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header = brokers.Clone()
	return r
}

// peerWriter records what a peer is sent.
type peerWriter struct {
	*httptest.ResponseRecorder
	accepted bool
	refusal  *entry.PeerRefusal
	unable   bool
}

func (w *peerWriter) Accept() error {
	w.accepted = true
	return nil
}

func (w *peerWriter) Service() string { return "quotes" }

func (w *peerWriter) Refuse(e *entry.PeerRefusal, unable bool) { w.refusal, w.unable = e, unable }

// A request of a peer must be served without another charge to its workspace, and never be passed on.
func TestRequestOfPeer(t *testing.T) {
	head := func() *entry.PeerHead {
		return &entry.PeerHead{
			ID:       "r1",
			Service:  "quotes",
			Started:  time.Now(),
			Deadline: time.Now().Add(time.Second),
		}
	}
	incoming := func() *http.Request {
		r := httptest.NewRequest(http.MethodPost, "/quotes/1", strings.NewReader("body"))
		r.Header = brokers.Clone()
		return r
	}
	t.Run("served", func(t *testing.T) {
		s := newSite(t, func(*entry.Config) {})
		w := &peerWriter{
			ResponseRecorder: httptest.NewRecorder(),
		}
		if err := s.server.ServePeer(w, incoming(), head()); err != nil {
			t.Fatal(err)
		}
		if !w.accepted || w.Code != http.StatusOK || w.Body.String() != "answer" {
			t.Errorf("accepted %v, status %d, body %q", w.accepted, w.Code, w.Body)
		}
		if s.tokens["brokers"] != 0 {
			t.Errorf("%d tokens taken", s.tokens["brokers"])
		}
	})
	t.Run("no target reached either", func(t *testing.T) {
		p := newPeerSite(t, peerServes, peerServes)
		w := &peerWriter{
			ResponseRecorder: httptest.NewRecorder(),
		}
		if err := p.server.ServePeer(w, incoming(), head()); err != nil {
			t.Fatal(err)
		}
		if len(p.heads) != 0 || w.refusal == nil || w.refusal.Outcome != attempt.OutcomeNotRun || !w.unable {
			t.Errorf("%d peers asked, refused with %+v, unable %v", len(p.heads), w.refusal, w.unable)
		}
		w = &peerWriter{
			ResponseRecorder: httptest.NewRecorder(),
		}
		if err := p.server.ServePeer(w, incoming(), head()); err != nil {
			t.Fatal(err)
		}
		if w.accepted || !w.unable {
			t.Errorf("accepted %v, unable %v while no target is reached", w.accepted, w.unable)
		}
	})
}

// Guards against a request that runs again at a peer whose configuration, of another version, allows it.
func TestPeerDoesNotRepeatWhatItsNodeMayNot(t *testing.T) {
	for _, nonRepeatable := range []bool{false, true} {
		failing := newSignalTarget(t, "failing", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
		})
		c := &choices{
			list:   []*signalTarget{failing},
			before: func(int) {},
		}
		s := newSite(t, func(cfg *entry.Config) {
			cfg.Choose = c.choose
			cfg.Trial = func(*fleetconfig.Service) (entry.Choice, bool) { return failing.choice, true }
		})
		w := &peerWriter{
			ResponseRecorder: httptest.NewRecorder(),
		}
		r := httptest.NewRequest(http.MethodPost, "/quotes/1", strings.NewReader("body"))
		r.Header = brokers.Clone()
		if err := s.server.ServePeer(w, r, &entry.PeerHead{
			ID:            "r1",
			Service:       "quotes",
			Started:       time.Now(),
			Deadline:      time.Now().Add(time.Second),
			NonRepeatable: nonRepeatable,
		}); err != nil {
			t.Fatal(err)
		}
		if runs := failing.arrived.Load(); nonRepeatable && runs != 1 || !nonRepeatable && runs < 2 {
			t.Errorf("not repeatable %v: %d runs", nonRepeatable, runs)
		}
	}
}
