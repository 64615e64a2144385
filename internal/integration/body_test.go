// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

const documentSize = 4 << 20

func TestBrokenDocumentIsResumedElsewhere(t *testing.T) {
	cases := []struct {
		name string
		mode target.Mode
	}{
		{
			name: "cut",
			mode: target.Mode{
				CutAfter: 1 << 20,
			},
		},
		{
			name: "stalled",
			mode: target.Mode{
				StallAfter: 1 << 20,
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t)
			bad := s.target("quotes", "a", 10)
			s.target("quotes", "a", 10)
			s.publishTargets(map[string]string{"quotes": `,"policy":{"floor":"capacity"}`})
			s.standardRoutes("quotes")
			n := s.node("a", withExtra("stall = 200ms"))
			s.allReady()
			bad.SetMode(c.mode)
			want := target.Document("/quotes/pack", documentSize)
			for i := range 8 {
				r := n.do(http.MethodGet, fmt.Sprintf("/quotes/pack?size=%d", documentSize), "pack", "")
				if r.err != nil || !bytes.Equal(r.body, want) {
					t.Fatalf("document %d: %d of %d bytes, right %t, err %v",
						i, len(r.body), len(want), bytes.Equal(r.body, want), r.err)
				}
			}
			if len(bad.Runs()) == 0 {
				t.Fatal("the bad target got no request, so the test is void")
			}
		})
	}
}

// Guards against ending a download at the deadline, which applies to the first byte only.
func TestDocumentIsResumedAfterTheDeadline(t *testing.T) {
	s := newSite(t)
	bad := s.target("quotes", "a", 10)
	s.target("quotes", "a", 10)
	s.publishTargets(map[string]string{
		"quotes": `,"policy":{"floor":"capacity"}`,
	})
	s.standardRoutes("quotes")
	n := s.node("a")
	s.allReady()
	// A megabyte in pieces of 16 KiB takes at least 320 ms.
	bad.SetMode(target.Mode{
		CutAfter:   1 << 20,
		ChunkDelay: 5 * time.Millisecond,
	})
	want := target.Document("/quotes/pack", documentSize)
	for before := bad.Requests(); bad.Requests() == before; {
		r := n.do(http.MethodGet, fmt.Sprintf("/quotes/pack?size=%d", documentSize), "pack", "", "Plover-Timeout", "200ms")
		if r.err != nil || !bytes.Equal(r.body, want) {
			t.Fatalf("%d of %d bytes, err %v", len(r.body), len(want), r.err)
		}
	}
}

func TestBrokenDocumentWithoutResumeIsVisiblyBroken(t *testing.T) {
	s := newSite(t)
	bad := s.target("quotes", "a", 10)
	s.publishTargets(nil)
	s.standardRoutes("quotes")
	n := s.node("a", withExtra("stall = 200ms"))
	s.allReady()
	for _, m := range []target.Mode{{
		CutAfter: 1 << 20,
	}, {
		StallAfter: 1 << 20,
	}} {
		for _, framing := range []string{"", "&chunked"} {
			bad.SetMode(m)
			r := n.do(http.MethodGet, fmt.Sprintf("/quotes/pack?size=%d%s", documentSize, framing), "pack", "")
			if r.err == nil {
				t.Fatalf("mode %+v%s: %d of %d bytes were delivered as a complete answer", m, framing, len(r.body), documentSize)
			}
		}
	}
}

// Guards against delivering part of a small answer, which is held until it is complete.
func TestBrokenSmallAnswerIsRetried(t *testing.T) {
	s := newSite(t)
	bad := s.target("quotes", "a", 10)
	s.target("quotes", "a", 10)
	s.publishTargets(map[string]string{"quotes": `,"policy":{"floor":"capacity"}`})
	s.standardRoutes("quotes")
	n := s.node("a")
	s.allReady()
	for _, m := range []target.Mode{{
		CutAfter: 9,
	}, {
		Swap: true,
	}, {
		Unframed: true,
	}, {
		ResetAfter: true,
	}, {
		ResetBefore: true,
	}} {
		bad.SetMode(m)
		// Each mode uses one retry of the budget.
		for before := bad.Requests(); bad.Requests() == before; {
			r := n.do(http.MethodGet, "/quotes/1", "small", "")
			want := target.Echo(http.MethodGet, "/quotes/1", "small", nil)
			if r.err != nil || !bytes.Equal(r.body, want) {
				t.Fatalf("mode %+v: status %d body %q err %v", m, r.status, r.body, r.err)
			}
		}
	}
}

func TestThousandsOfCallersGetTheirOwnAnswers(t *testing.T) {
	s := newSite(t)
	for range 6 {
		s.target("quotes", "a", 100)
	}
	s.publishTargets(nil)
	s.standardRoutes("quotes")
	n := s.node("a")
	s.allReady()
	const count, atOnce = 4000, 200
	var wrong, failed atomic.Int64
	var all sync.WaitGroup
	for w := range atOnce {
		all.Go(func() {
			for i := range count / atOnce {
				key := fmt.Sprintf("own-%d-%d", w, i)
				r := n.do(http.MethodGet, "/quotes/"+key, key, "")
				if r.err != nil || r.status != http.StatusOK {
					failed.Add(1)
				} else if !bytes.Equal(r.body, target.Echo(http.MethodGet, "/quotes/"+key, key, nil)) {
					wrong.Add(1)
				}
			}
		})
	}
	all.Wait()
	if wrong.Load() != 0 || failed.Load() != 0 {
		t.Fatalf("%d wrong and %d failed of %d", wrong.Load(), failed.Load(), count)
	}
}
