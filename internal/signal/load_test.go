// SPDX-License-Identifier: Apache-2.0

package signal_test

import (
	"fmt"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/signal"
)

func loadOf(running, waiting, slots int) signal.Signal {
	return signal.Signal{
		Load: signal.Load{
			Running: running,
			Waiting: waiting,
			Slots:   slots,
		},
	}
}

// A load holds until a later response has another one, and binds nobody. One that can't be parsed
// changes nothing, and is reported once.
func TestNewestLoadCounts(t *testing.T) {
	unreadable := signal.Signal{
		LoadUnreadable: true,
	}
	steps := []struct {
		name       string
		signal     signal.Signal
		unreadable bool
		want       signal.Load
		at         int
	}{
		{
			name: "none",
		},
		{
			name:   "reported",
			signal: loadOf(3, 0, 8),
			want:   loadOf(3, 0, 8).Load,
			at:     1,
		},
		{
			name:   "another",
			signal: loadOf(8, 2, 8),
			want:   loadOf(8, 2, 8).Load,
			at:     2,
		},
		{
			name:       "unreadable",
			signal:     unreadable,
			unreadable: true,
			want:       loadOf(8, 2, 8).Load,
			at:         2,
		},
		{
			name:   "unreadable again",
			signal: unreadable,
			want:   loadOf(8, 2, 8).Load,
			at:     2,
		},
		{
			name:   "readable again",
			signal: loadOf(1, 0, 8),
			want:   loadOf(1, 0, 8).Load,
			at:     5,
		},
		{
			name: "without a load",
			want: loadOf(1, 0, 8).Load,
			at:   5,
		},
	}
	var l signal.Ledger
	target := born(0)
	for i, s := range steps {
		now := start.Add(time.Duration(i) * time.Second)
		if got := l.Observe(now, target, s.signal); got.Changed || got.Unreadable != s.unreadable {
			t.Errorf("%s: %+v", s.name, got)
		}
		got := l.Status(now, target)
		if got.Load != s.want || got.Unavailable() || !l.Empty() {
			t.Errorf("%s: %+v", s.name, got)
		}
		if want := start.Add(time.Duration(s.at) * time.Second); s.at > 0 && !got.LoadAt.Equal(want) {
			t.Errorf("%s: load of %v", s.name, got.LoadAt)
		}
	}
	if got := l.Status(start.Add(time.Hour), target); got.Load.Reported() {
		t.Errorf("after an hour: %+v", got)
	}
}

// A load belongs to one incarnation: guards against the load of a target that ended counting for the
// next one at its address, and against a late response of the earlier one.
func TestLoadIsOfOneIncarnation(t *testing.T) {
	var l signal.Ledger
	l.Observe(start, born(0), loadOf(8, 9, 8))
	if got := l.Status(start, born(time.Minute)).Load; got.Reported() {
		t.Errorf("the next incarnation has the load %+v", got)
	}
	l.Observe(start, born(time.Minute), loadOf(1, 0, 8))
	l.Observe(start, born(0), loadOf(8, 9, 8))
	if got := l.Status(start, born(time.Minute)).Load; got != loadOf(1, 0, 8).Load {
		t.Errorf("a late response of the earlier incarnation: %+v", got)
	}
}

// The memory for loads is bounded, and those of targets that have long not reported are dropped.
func TestLoadsAreBounded(t *testing.T) {
	var l signal.Ledger
	const most = 10_000
	for i := range 3 * most {
		l.Observe(start, incarnation(fmt.Sprint(i)), loadOf(1, 0, 8))
	}
	if n := l.Loads(); n != most {
		t.Errorf("%d loads", n)
	}
	l.Prune(start.Add(time.Hour), func(signal.Incarnation) bool { return true })
	if n := l.Loads(); n != 0 {
		t.Errorf("%d loads after an hour", n)
	}
}

// Guards against a log line after each change of the configuration for a target that sends what can't be
// parsed: its record had no readable load and was dropped each time. The same held for a limit.
func TestUnreadableIsReportedOnce(t *testing.T) {
	tests := []struct {
		name   string
		signal signal.Signal
	}{
		{
			name: "load",
			signal: signal.Signal{
				LoadUnreadable: true,
			},
		},
		{
			name: "limit",
			signal: signal.Signal{
				LimitUnreadable: true,
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l signal.Ledger
			for n := range 5 {
				now := start.Add(time.Duration(n) * 30 * time.Second)
				want := signal.Observation{
					Unreadable: n == 0,
				}
				if got := l.Observe(now, born(0), tt.signal); got != want {
					t.Errorf("observation %d: %+v", n, got)
				}
				l.Prune(now.Add(time.Second), func(signal.Incarnation) bool { return true })
			}
			l.Prune(start.Add(time.Hour), func(signal.Incarnation) bool { return false })
			if !l.Empty() || l.Loads() != 0 {
				t.Error("the record of a target that was removed long ago stays")
			}
		})
	}
}
