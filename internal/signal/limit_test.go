// SPDX-License-Identifier: Apache-2.0

package signal_test

import (
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/signal"
)

func limitOf(rate float64) signal.Signal {
	return signal.Signal{
		Limit: signal.Limit{
			Rate: rate,
			Set:  true,
		},
	}
}

// A limit holds until a later response has another one or none. One that can't be parsed changes
// nothing, and is reported once.
func TestLimitHoldsUntilTheNextAnswer(t *testing.T) {
	steps := []struct {
		name   string
		signal signal.Signal
		new    signal.Observation
		want   signal.Limit
	}{
		{
			name: "none",
		},
		{
			name:   "named",
			signal: limitOf(1.6),
			new: signal.Observation{
				Changed: true,
			},
			want: limitOf(1.6).Limit,
		},
		{
			name:   "named again",
			signal: limitOf(1.6),
			want:   limitOf(1.6).Limit,
		},
		{
			name: "unreadable",
			signal: signal.Signal{
				LimitUnreadable: true,
			},
			new: signal.Observation{
				Unreadable: true,
			},
			want: limitOf(1.6).Limit,
		},
		{
			name: "unreadable again",
			signal: signal.Signal{
				LimitUnreadable: true,
			},
			want: limitOf(1.6).Limit,
		},
		{
			name:   "nothing accepted",
			signal: limitOf(0),
			new: signal.Observation{
				Changed: true,
			},
			want: limitOf(0).Limit,
		},
		{
			name: "lifted",
			new: signal.Observation{
				Changed: true,
			},
		},
	}
	var l signal.Ledger
	target := born(0)
	for i, s := range steps {
		now := start.Add(time.Duration(i) * time.Second)
		if got := l.Observe(now, target, s.signal); got != s.new {
			t.Errorf("%s: %+v", s.name, got)
		}
		if got := l.Status(now, target); got.Limit != s.want || got.Unavailable() {
			t.Errorf("%s: %+v", s.name, got)
		}
	}
}

// A limit belongs to one incarnation: the next one has none until it sends its own.
func TestLimitIsOfOneIncarnation(t *testing.T) {
	var l signal.Ledger
	l.Observe(start, born(0), limitOf(1.6))
	if got := l.Status(start, born(time.Minute)).Limit; got.Set {
		t.Errorf("the next incarnation has the limit %+v", got)
	}
}

// A target with a limit gets only requests that took a token of the limit, and none that were
// delayed since.
func TestPermit(t *testing.T) {
	tests := []struct {
		name   string
		signal signal.Signal
		permit signal.Permit
		want   bool
	}{
		{
			name: "no limit",
			want: true,
		},
		{
			name:   "granted without the limit",
			signal: limitOf(2),
			permit: signal.Permit{
				At: start,
			},
		},
		{
			name:   "with a token",
			signal: limitOf(2),
			permit: signal.Permit{
				Paced: true,
				At:    start.Add(-400 * time.Millisecond),
			},
			want: true,
		},
		{
			name:   "delayed after the grant",
			signal: limitOf(2),
			permit: signal.Permit{
				Paced: true,
				At:    start.Add(-600 * time.Millisecond),
			},
		},
		{
			name: "with a token, and draining",
			signal: signal.Signal{
				Draining: true,
			},
			permit: signal.Permit{
				Paced: true,
				At:    start,
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l signal.Ledger
			l.Observe(start, incarnation("t"), tt.signal)
			if got := l.Status(start, incarnation("t")).Permits(start, tt.permit); got != tt.want {
				t.Errorf("permits %v", got)
			}
		})
	}
}

// The limit that a peer reports holds unless this node received a later response of the target.
func TestLimitsOfPeersAreLearned(t *testing.T) {
	var l signal.Ledger
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	l.ObservePeer(at(1), incarnation("t"), limitOf(2).Limit)
	if got := l.Status(at(5), incarnation("t")).Limit; got != limitOf(2).Limit {
		t.Errorf("limit of a peer: got %+v", got)
	}
	l.Observe(at(6), incarnation("t"), signal.Signal{})
	l.ObservePeer(at(5), incarnation("t"), limitOf(2).Limit)
	if got := l.Status(at(7), incarnation("t")).Limit; got.Set {
		t.Errorf("a lifted limit was restored: %+v", got)
	}
}
