// SPDX-License-Identifier: Apache-2.0

package signal_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/signal"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func incarnation(key string) signal.Incarnation {
	return signal.Incarnation{
		Service: "quotes",
		Key:     key,
		Name:    key,
		Named:   true,
	}
}

// born returns an incarnation of the target id that started some time after start.
func born(after time.Duration) signal.Incarnation {
	return signal.Incarnation{
		Service: "quotes",
		Key:     fmt.Sprint("id/", after),
		Name:    "id",
		Named:   true,
		Born:    start.Add(after),
	}
}

func ExampleLedger() {
	var l signal.Ledger
	target := signal.Incarnation{
		Service: "quotes",
		Key:     "id-7/k2p",
		Name:    "id-7",
		Named:   true,
	}
	l.Observe(start, target, signal.Signal{
		Backoff: 3 * time.Second,
	})
	fmt.Println(l.Status(start.Add(time.Second), target).Backoff)
	fmt.Println(l.Status(start.Add(3*time.Second), target).Backoff)
	// Output:
	// 2s
	// 0s
}

// A draining signal holds for the target's incarnation and for no other one.
func TestDrainingHoldsForOneIncarnation(t *testing.T) {
	var l signal.Ledger
	unnamed := signal.Incarnation{
		Service: "quotes",
		Key:     "192.0.2.1:80",
		Name:    "192.0.2.1:80",
	}
	draining := signal.Signal{
		Draining: true,
	}
	if !l.Observe(start, incarnation("id/1"), draining).Changed || l.Observe(start.Add(time.Second), incarnation("id/1"), draining).Changed {
		t.Error("the same signal is reported as a change twice, or never")
	}
	l.Observe(start, unnamed, draining)
	tests := []struct {
		name   string
		target signal.Incarnation
		after  time.Duration
		want   bool
	}{
		{
			name:   "at once",
			target: incarnation("id/1"),
			after:  0,
			want:   true,
		},
		{
			name:   "an hour later",
			target: incarnation("id/1"),
			after:  time.Hour,
			want:   true,
		},
		{
			name:   "the next incarnation under the same ID",
			target: incarnation("id/2"),
			after:  time.Second,
		},
		{
			name: "the same key in another service",
			target: signal.Incarnation{
				Service: "documents",
				Key:     "id/1",
				Name:    "id/1",
				Named:   true,
			},
			after: time.Second,
		},
		{
			name:   "an address",
			target: unnamed,
			after:  59 * time.Second,
			want:   true,
		},
		{
			name:   "an address that may have another process meanwhile",
			target: unnamed,
			after:  time.Minute,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := l.Status(start.Add(tt.after), tt.target); got.Draining != tt.want || got.Unavailable() != tt.want {
				t.Errorf("%+v", got)
			}
		})
	}
}

// A node that receives a new incarnation late records its signals as those of the previous one.
// Signals after the start of the new one are its own; those before, or shortly after, are not.
func TestSignalsOfUnknownIncarnation(t *testing.T) {
	const received = time.Minute
	tests := []struct {
		name string
		next time.Duration
		want bool
	}{
		{
			name: "it started long before",
			next: 10 * time.Second,
			want: true,
		},
		{
			name: "it started a moment before, by clocks that may differ",
			next: received - 4*time.Second,
		},
		{
			name: "it started later",
			next: received + time.Second,
		},
		{
			name: "it is older than the recorded one",
			next: -time.Second,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l signal.Ledger
			l.Observe(start.Add(received), born(0), signal.Signal{
				Draining: true,
			})
			if got := l.Status(start.Add(2*received), born(tt.next)).Draining; got != tt.want {
				t.Errorf("draining %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against requests to a target that drains from its start on, from a node that received the
// signal before it received the new incarnation.
func TestDrainingNearTheStartOfAnIncarnation(t *testing.T) {
	const received = time.Minute
	next := born(received - 300*time.Millisecond)
	tests := []struct {
		name     string
		after    time.Duration
		repeated bool
		want     bool
		sure     bool
	}{
		{
			name:  "just now",
			after: time.Millisecond,
			want:  true,
		},
		{
			name:  "before drainingUnsure is over",
			after: 59 * time.Second,
			want:  true,
		},
		{
			name:  "after drainingUnsure",
			after: 61 * time.Second,
		},
		{
			name:     "it repeats the signal",
			after:    10 * time.Minute,
			repeated: true,
			want:     true,
			sure:     true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l signal.Ledger
			draining := signal.Signal{
				Draining: true,
			}
			l.Observe(start.Add(received), born(0), draining)
			if tt.repeated {
				l.Observe(start.Add(received+time.Second), next, draining)
			}
			got := l.Status(start.Add(received+tt.after), next)
			if got.Draining != tt.want || got.Unavailable() != tt.want || got.Uncertain != (tt.want && !tt.sure) {
				t.Errorf("%+v", got)
			}
		})
	}
}

// Guards against an incarnation without requests because the previous one drained before it ended.
func TestDrainingBeforeTheStartOfAnIncarnation(t *testing.T) {
	var l signal.Ledger
	l.Observe(start.Add(time.Minute), born(0), signal.Signal{
		Draining: true,
	})
	if got := l.Status(start.Add(time.Minute+time.Second), born(time.Minute+300*time.Millisecond)); got.Unavailable() {
		t.Errorf("%+v", got)
	}
}

// A response to an attempt at an earlier incarnation counts for the newest one, which sent it.
func TestSignalsOfFormerIncarnation(t *testing.T) {
	var l signal.Ledger
	l.Observe(start, born(time.Second), signal.Signal{
		Draining: true,
	})
	l.Observe(start, born(0), signal.Signal{
		Backoff: time.Second,
	})
	if got := l.Status(start, born(time.Second)); !got.Draining || got.Backoff != time.Second {
		t.Errorf("%+v", got)
	}
}

// Backoffs are bounded, and none shortens another.
func TestBackoff(t *testing.T) {
	tests := []struct {
		name     string
		backoffs []time.Duration
		want     time.Duration
	}{
		{
			name:     "none",
			backoffs: []time.Duration{0},
		},
		{
			name:     "negative",
			backoffs: []time.Duration{-time.Second},
		},
		{
			name:     "one",
			backoffs: []time.Duration{3 * time.Second},
			want:     3 * time.Second,
		},
		{
			name:     "a shorter one after it",
			backoffs: []time.Duration{3 * time.Second, time.Second},
			want:     3 * time.Second,
		},
		{
			name:     "a longer one after it",
			backoffs: []time.Duration{time.Second, 3 * time.Second},
			want:     3 * time.Second,
		},
		{
			name:     "huge",
			backoffs: []time.Duration{1 << 62},
			want:     signal.MaxBackoff,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l signal.Ledger
			for _, d := range tt.backoffs {
				l.Observe(start, incarnation("id/1"), signal.Signal{
					Backoff: d,
				})
			}
			if got := l.Status(start, incarnation("id/1")); got.Backoff != tt.want || got.BackoffTotal != tt.want || got.Draining {
				t.Errorf("%+v, want %v", got, tt.want)
			}
		})
	}
}

// The records of removed targets are dropped, but not while their entries may reappear.
func TestPrune(t *testing.T) {
	var l signal.Ledger
	draining := signal.Signal{
		Draining: true,
	}
	l.Observe(start, incarnation("published"), draining)
	l.Observe(start, incarnation("gone"), draining)
	l.Observe(start, incarnation("rested"), signal.Signal{
		Backoff: time.Second,
	})
	published := func(l signal.Incarnation) bool { return l.Key != "gone" }
	l.Prune(start.Add(time.Minute), published)
	if draining, backingOff := l.Counts(start.Add(time.Minute)); draining != 2 || backingOff != 0 {
		t.Errorf("%d targets draining, %d backing off", draining, backingOff)
	}
	l.Prune(start.Add(time.Hour), published)
	if draining, _ := l.Counts(start.Add(time.Hour)); draining != 1 {
		t.Errorf("%d targets draining", draining)
	}
	l.Prune(start.Add(2*time.Hour), func(signal.Incarnation) bool { return false })
	if !l.Empty() {
		t.Error("there are records of targets that were removed long ago")
	}
}

// The memory for signals is bounded; the latest ones stay.
func TestLedgerIsBounded(t *testing.T) {
	var l signal.Ledger
	const many = 25_000
	for i := range many {
		l.Observe(start.Add(time.Duration(i)), incarnation(fmt.Sprint(i)), signal.Signal{
			Draining: true,
		})
	}
	if draining, _ := l.Counts(start.Add(many)); draining < 9_000 || draining > 10_000 {
		t.Errorf("%d targets are recorded", draining)
	}
	for i := many - 9_000; i < many; i++ {
		if !l.Status(start.Add(many), incarnation(fmt.Sprint(i))).Draining {
			t.Fatalf("signal %d of %d is lost", i, many)
		}
	}
}

// Signals that are recorded concurrently are all kept.
func TestConcurrentObserve(t *testing.T) {
	var l signal.Ledger
	var all sync.WaitGroup
	const many = 100
	for i := range many {
		all.Go(func() {
			l.Observe(start, incarnation(fmt.Sprint(i)), signal.Signal{
				Draining: true,
			})
			l.Status(start, incarnation("0"))
		})
	}
	all.Wait()
	if draining, _ := l.Counts(start); draining != many {
		t.Errorf("%d of %d signals are kept", draining, many)
	}
}

// BenchmarkStatus measures the read of each attempt: it is free without signals, and allocates
// nothing with them.
func BenchmarkStatus(b *testing.B) {
	for _, known := range []int{0, 720} {
		b.Run(fmt.Sprint(known), func(b *testing.B) {
			var l signal.Ledger
			for i := range known {
				l.Observe(start, incarnation(fmt.Sprint(i)), signal.Signal{
					Draining: true,
				})
			}
			target := incarnation("7")
			b.ReportAllocs()
			for b.Loop() {
				l.Status(start, target)
			}
		})
	}
}
