// SPDX-License-Identifier: Apache-2.0

package notice_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/notice"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func life(key string) notice.Life {
	return notice.Life{
		Service: "quotes",
		Key:     key,
		Name:    key,
		Named:   true,
	}
}

// born returns a life of the target id that began some time after start.
func born(after time.Duration) notice.Life {
	return notice.Life{
		Service: "quotes",
		Key:     fmt.Sprint("id/", after),
		Name:    "id",
		Named:   true,
		Born:    start.Add(after),
	}
}

func ExampleLedger() {
	var l notice.Ledger
	target := notice.Life{
		Service: "quotes",
		Key:     "id-7/k2p",
		Name:    "id-7",
		Named:   true,
	}
	l.Hear(start, target, notice.Notice{
		Rest: 3 * time.Second,
	})
	fmt.Println(l.Standing(start.Add(time.Second), target).Rest)
	fmt.Println(l.Standing(start.Add(3*time.Second), target).Rest)
	// Output:
	// 2s
	// 0s
}

// A word of leaving holds for the target's life and for no other one.
func TestLeavingHoldsForOneLife(t *testing.T) {
	var l notice.Ledger
	unnamed := notice.Life{
		Service: "quotes",
		Key:     "192.0.2.1:80",
		Name:    "192.0.2.1:80",
	}
	leaving := notice.Notice{
		Leaving: true,
	}
	if !l.Hear(start, life("id/1"), leaving) || l.Hear(start.Add(time.Second), life("id/1"), leaving) {
		t.Error("the same word is news twice, or not once")
	}
	l.Hear(start, unnamed, leaving)
	tests := []struct {
		name  string
		life  notice.Life
		after time.Duration
		want  bool
	}{
		{
			name:  "at once",
			life:  life("id/1"),
			after: 0,
			want:  true,
		},
		{
			name:  "an hour later",
			life:  life("id/1"),
			after: time.Hour,
			want:  true,
		},
		{
			name:  "the next life under the same ID",
			life:  life("id/2"),
			after: time.Second,
		},
		{
			name: "the same key in another service",
			life: notice.Life{
				Service: "documents",
				Key:     "id/1",
				Name:    "id/1",
				Named:   true,
			},
			after: time.Second,
		},
		{
			name:  "an address",
			life:  unnamed,
			after: 59 * time.Second,
			want:  true,
		},
		{
			name:  "an address that may have another process by now",
			life:  unnamed,
			after: time.Minute,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := l.Standing(start.Add(tt.after), tt.life); got.Leaving != tt.want || got.Barred() != tt.want {
				t.Errorf("%+v", got)
			}
		})
	}
}

// A node that hears late of a new life takes its words for those of the one before. What was said
// once the new one had begun is its own; what was said before, or nearly so, isn't.
func TestWordsOfALifeNotYetKnown(t *testing.T) {
	const heard = time.Minute
	tests := []struct {
		name string
		next time.Duration
		want bool
	}{
		{
			name: "it had begun long before",
			next: 10 * time.Second,
			want: true,
		},
		{
			name: "it had begun a moment before, by clocks that may differ",
			next: heard - 4*time.Second,
		},
		{
			name: "it began later",
			next: heard + time.Second,
		},
		{
			name: "it is older than the one that was known",
			next: -time.Second,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l notice.Ledger
			l.Hear(start.Add(heard), born(0), notice.Notice{
				Leaving: true,
			})
			if got := l.Standing(start.Add(2*heard), born(tt.next)).Leaving; got != tt.want {
				t.Errorf("leaving %v, want %v", got, tt.want)
			}
		})
	}
}

// What comes of an attempt at a life that is known to be over was said by the one after it.
func TestWordsOfALifeThatIsOver(t *testing.T) {
	var l notice.Ledger
	l.Hear(start, born(time.Second), notice.Notice{
		Leaving: true,
	})
	l.Hear(start, born(0), notice.Notice{
		Rest: time.Second,
	})
	if got := l.Standing(start, born(time.Second)); !got.Leaving || got.Rest != time.Second {
		t.Errorf("%+v", got)
	}
}

// Rests are bounded, and none shortens another.
func TestRest(t *testing.T) {
	tests := []struct {
		name  string
		rests []time.Duration
		want  time.Duration
	}{
		{
			name:  "none",
			rests: []time.Duration{0},
		},
		{
			name:  "negative",
			rests: []time.Duration{-time.Second},
		},
		{
			name:  "one",
			rests: []time.Duration{3 * time.Second},
			want:  3 * time.Second,
		},
		{
			name:  "a shorter one after it",
			rests: []time.Duration{3 * time.Second, time.Second},
			want:  3 * time.Second,
		},
		{
			name:  "a longer one after it",
			rests: []time.Duration{time.Second, 3 * time.Second},
			want:  3 * time.Second,
		},
		{
			name:  "huge",
			rests: []time.Duration{1 << 62},
			want:  notice.MostRest,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l notice.Ledger
			for _, d := range tt.rests {
				l.Hear(start, life("id/1"), notice.Notice{
					Rest: d,
				})
			}
			if got := l.Standing(start, life("id/1")); got.Rest != tt.want || got.Whole != tt.want || got.Leaving {
				t.Errorf("%+v, want %v", got, tt.want)
			}
		})
	}
}

// What is known of targets that are gone is dropped, but not while their entries may come back.
func TestForget(t *testing.T) {
	var l notice.Ledger
	leaving := notice.Notice{
		Leaving: true,
	}
	l.Hear(start, life("published"), leaving)
	l.Hear(start, life("gone"), leaving)
	l.Hear(start, life("rested"), notice.Notice{
		Rest: time.Second,
	})
	published := func(l notice.Life) bool { return l.Key != "gone" }
	l.Forget(start.Add(time.Minute), published)
	if leaving, resting := l.Counts(start.Add(time.Minute)); leaving != 2 || resting != 0 {
		t.Errorf("%d leave, %d rest", leaving, resting)
	}
	l.Forget(start.Add(time.Hour), published)
	if leaving, _ := l.Counts(start.Add(time.Hour)); leaving != 1 {
		t.Errorf("%d leave", leaving)
	}
	l.Forget(start.Add(2*time.Hour), func(notice.Life) bool { return false })
	if !l.Empty() {
		t.Error("something is known of targets that are gone for long")
	}
}

// Whatever targets say, memory is bounded; the latest words stay.
func TestLedgerIsBounded(t *testing.T) {
	var l notice.Ledger
	const many = 25_000
	for i := range many {
		l.Hear(start.Add(time.Duration(i)), life(fmt.Sprint(i)), notice.Notice{
			Leaving: true,
		})
	}
	if leaving, _ := l.Counts(start.Add(many)); leaving < 9_000 || leaving > 10_000 {
		t.Errorf("%d targets are remembered", leaving)
	}
	for i := many - 9_000; i < many; i++ {
		if !l.Standing(start.Add(many), life(fmt.Sprint(i))).Leaving {
			t.Fatalf("word %d of %d is lost", i, many)
		}
	}
}

// Words that come at the same time are all kept.
func TestLedgerAtTheSameTime(t *testing.T) {
	var l notice.Ledger
	var all sync.WaitGroup
	const many = 100
	for i := range many {
		all.Go(func() {
			l.Hear(start, life(fmt.Sprint(i)), notice.Notice{
				Leaving: true,
			})
			l.Standing(start, life("0"))
		})
	}
	all.Wait()
	if leaving, _ := l.Counts(start); leaving != many {
		t.Errorf("%d of %d words are kept", leaving, many)
	}
}

// What each attempt asks costs nothing on days on which no target says anything, and takes no
// memory on others.
func BenchmarkStanding(b *testing.B) {
	for _, known := range []int{0, 720} {
		b.Run(fmt.Sprint(known), func(b *testing.B) {
			var l notice.Ledger
			for i := range known {
				l.Hear(start, life(fmt.Sprint(i)), notice.Notice{
					Leaving: true,
				})
			}
			asked := life("7")
			b.ReportAllocs()
			for b.Loop() {
				l.Standing(start, asked)
			}
		})
	}
}
