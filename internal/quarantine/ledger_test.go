// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ploverjunction.example/ploverjunction/internal/quarantine"
)

var start = time.Unix(1_000_000, 0)

func fingerprintsOf(uri string) quarantine.Fingerprints {
	return quarantine.NewFingerprints(quarantine.Request{
		Method: "GET",
		URI:    uri,
		Caller: "192.0.2.7",
	})
}

// recordCrash records a crash under all fingerprints of a request.
func recordCrash(l *quarantine.Ledger, at time.Time, p quarantine.Fingerprints, target string) {
	for _, one := range p.All() {
		l.RecordCrash(at, one, target)
	}
}

func recordAnswer(l *quarantine.Ledger, p quarantine.Fingerprints) {
	for _, one := range p.All() {
		l.RecordAnswer(one)
	}
}

// Each further crash extends the hold of a request; after the hold it may run once more.
func TestCrashesHoldRequest(t *testing.T) {
	tests := []struct {
		name    string
		crashes int
		// least and most bound the time from the last crash until the request may run again.
		least time.Duration
		most  time.Duration
	}{
		{
			name:    "one: all requests in flight at the target have one",
			crashes: 1,
		},
		{
			name:    "two: some harmless requests have two",
			crashes: 2,
		},
		{
			name:    "three",
			crashes: 3,
			least:   time.Minute,
			most:    2 * time.Minute,
		},
		{
			name:    "four, the last one after the first hold",
			crashes: 4,
			least:   10 * time.Minute,
			most:    20 * time.Minute,
		},
		{
			name:    "five crashes",
			crashes: 5,
			least:   time.Hour,
			most:    2 * time.Hour,
		},
		{
			name:    "six, after which it runs once a day",
			crashes: 6,
			least:   24 * time.Hour,
			most:    48 * time.Hour,
		},
		{
			name:    "more than extend the hold",
			crashes: 9,
			least:   24 * time.Hour,
			most:    48 * time.Hour,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := quarantine.NewLedger(7)
			p := fingerprintsOf("/7")
			now := start
			for i := range tt.crashes {
				now = start.Add(time.Duration(i) * time.Second)
				recordCrash(l, now, p, fmt.Sprint(i))
			}
			s := l.Check(now, p)
			if !s.Suspect() {
				t.Error("not suspected")
			}
			if s.Wait < tt.least || s.Wait > tt.most {
				t.Errorf("refused for %v, want %v to %v", s.Wait, tt.least, tt.most)
			}
			if after := l.Check(now.Add(tt.most), p); after.Held() {
				t.Errorf("still refused after %v", tt.most)
			}
			if other := l.Check(now, fingerprintsOf("/8")); other.Suspect() {
				t.Error("another request is suspected")
			}
		})
	}
}

// Reports of one crash count once, and answers reset the count.
func TestCrashesAndAnswersAreCounted(t *testing.T) {
	p := fingerprintsOf("/7")
	tests := []struct {
		name string
		do   func(l *quarantine.Ledger)
		want int
	}{
		{
			name: "two nodes report the same crash",
			do: func(l *quarantine.Ledger) {
				recordCrash(l, start, p, "a")
				recordCrash(l, start.Add(300*time.Millisecond), p, "a")
			},
			want: 1,
		},
		{
			name: "a target that restarted and crashed again",
			do: func(l *quarantine.Ledger) {
				recordCrash(l, start, p, "a")
				recordCrash(l, start.Add(4*time.Second), p, "a")
			},
			want: 2,
		},
		{
			name: "an answer in between",
			do: func(l *quarantine.Ledger) {
				recordCrash(l, start, p, "a")
				recordCrash(l, start.Add(time.Second), p, "b")
				recordAnswer(l, p)
				recordCrash(l, start.Add(2*time.Second), p, "c")
			},
			want: 1,
		},
		{
			name: "a late report of a crash before the answer",
			do: func(l *quarantine.Ledger) {
				recordCrash(l, start, p, "a")
				recordAnswer(l, p)
				recordCrash(l, start.Add(50*time.Millisecond), p, "a")
			},
			want: 0,
		},
		{
			name: "an expired crash",
			do: func(l *quarantine.Ledger) {
				recordCrash(l, start.Add(-11*time.Minute), p, "a")
				l.Forget(start)
				recordCrash(l, start, p, "b")
			},
			want: 1,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := quarantine.NewLedger(7)
			tt.do(l)
			if got := l.Check(start.Add(4*time.Second), p).Crashes; got != tt.want {
				t.Errorf("%d crashes, want %d", got, tt.want)
			}
		})
	}
}

// The records of nodes whose times of two crashes of one target differ a little converge: crashes
// that one node distinguishes are two for all nodes.
func TestCrashesCloseTogether(t *testing.T) {
	p := fingerprintsOf("/7").Content()
	record := func(shift time.Duration, offsets ...time.Duration) quarantine.Record {
		r := quarantine.Record{
			Fingerprint: p,
		}
		for _, o := range offsets {
			r.Crashes = append(r.Crashes, quarantine.Crash{
				Target: 1,
				At:     start.Add(shift + o),
			})
		}
		return r
	}
	a, b := quarantine.NewLedger(1), quarantine.NewLedger(2)
	a.Merge(start, record(0, 0))
	a.Merge(start, record(0, 10*time.Second))
	b.Merge(start, record(0, 0, 501*time.Millisecond, 10*time.Second))
	a.Merge(start, record(-3*time.Millisecond, 0, 501*time.Millisecond, 10*time.Second))
	if a.Digest() != b.Digest() {
		t.Errorf("digests %x and %x", a.Digest(), b.Digest())
	}
}

// A peer may send more crashes than a record keeps.
func TestRecordWithManyCrashes(t *testing.T) {
	r := quarantine.Record{
		Fingerprint: fingerprintsOf("/7").Content(),
	}
	for i := range 40 {
		r.Crashes = append(r.Crashes, quarantine.Crash{
			Target: uint32(i),
			At:     start.Add(time.Duration(i) * time.Millisecond),
		})
	}
	l := quarantine.NewLedger(1)
	l.Merge(start, r)
	if s := l.Status(start.Add(time.Second), r.Fingerprint); !s.Held() || s.Crashes > 12 {
		t.Errorf("%d crashes, refused for %v", s.Crashes, s.Wait)
	}
}

// The request of one caller can be held while the same request of others is answered.
func TestRequestHarmfulForOneCaller(t *testing.T) {
	l := quarantine.NewLedger(7)
	ask := func(caller string) quarantine.Fingerprints {
		return quarantine.NewFingerprints(quarantine.Request{
			Method: "GET",
			URI:    "/forms",
			Caller: caller,
		})
	}
	harmful, harmless := ask("192.0.2.7"), ask("192.0.2.8")
	for i := range 3 {
		now := start.Add(time.Duration(i) * time.Second)
		recordCrash(l, now, harmful, fmt.Sprint(i))
		recordAnswer(l, harmless)
	}
	now := start.Add(3 * time.Second)
	if !l.Check(now, harmful).Held() {
		t.Error("the harmful request is not refused")
	}
	if l.Check(now, harmless).Suspect() {
		t.Error("the harmless one is suspected")
	}
}

// Nodes release a request at different times, so that the others learn from the first one.
func TestNodesReleaseRequestInTurn(t *testing.T) {
	const nodes = 200
	p := fingerprintsOf("/7")
	soon := 0
	for salt := range uint64(nodes) {
		l := quarantine.NewLedger(salt)
		for i := range 3 {
			recordCrash(l, start, p, fmt.Sprint(i))
		}
		if !l.Check(start.Add(66*time.Second), p).Held() {
			soon++
		}
	}
	// 66 s is a tenth into the second minute.
	if soon < nodes/20 || soon > nodes/5 {
		t.Errorf("%d of %d nodes released it after 66 s, want about %d", soon, nodes, nodes/10)
	}
}

// A ledger stays within its bounds, and keeps the latest crashes.
func TestLedgerIsBounded(t *testing.T) {
	const most = 64 + 512
	l := quarantine.NewLedger(7)
	for i := range 5000 {
		p := fingerprintsOf(fmt.Sprint(i))
		now := start.Add(time.Duration(i) * time.Millisecond)
		recordCrash(l, now, p, "a")
		if i%3 == 0 {
			recordCrash(l, now, p, "b")
		}
	}
	if l.Len() > most {
		t.Errorf("%d records, want at most %d", l.Len(), most)
	}
	if got := l.Check(start.Add(5*time.Second), fingerprintsOf("4999")).Crashes; got != 1 {
		t.Errorf("%d crashes under the last request, want 1", got)
	}
	l.Forget(start.Add(time.Hour))
	if l.Len() != 0 || l.Digest() != 0 {
		t.Errorf("after an hour: %d records, digest %x", l.Len(), l.Digest())
	}
}

// The records of nodes converge, whatever the order in which they receive crashes and answers, and
// how often.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	p := fingerprintsOf("/7").Content()
	record := func(n int64) quarantine.Record {
		return quarantine.Record{
			Fingerprint: p,
			Crashes: []quarantine.Crash{
				{
					Target:   uint32(n % 5),
					At:       start.Add(time.Duration(n/5%6) * 2 * time.Second),
					Answered: n%7 == 0,
				},
			},
		}
	}
	learn := func(ns []int64, order []int) *quarantine.Ledger {
		l := quarantine.NewLedger(1)
		for _, i := range order {
			l.Merge(start.Add(time.Minute), record(ns[i]))
		}
		return l
	}
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	properties.Property("same digest", prop.ForAll(func(ns []int64, seed uint64) bool {
		if len(ns) > 6 {
			ns = ns[:6]
		}
		random := rand.New(rand.NewPCG(seed, 1))
		first, second := random.Perm(len(ns)), random.Perm(len(ns))
		second = append(second, random.Perm(len(ns))...)
		a, b := learn(ns, first), learn(ns, second)
		return a.Digest() == b.Digest() && a.Len() == b.Len()
	}, gen.SliceOf(gen.Int64Range(0, 210)), gen.UInt64()))
	properties.TestingRun(t)
}
