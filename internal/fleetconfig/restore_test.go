// SPDX-License-Identifier: Apache-2.0

package fleetconfig_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// stampedEntry returns a value of a key at a position, with the sequence number of its writer.
func stampedEntry(key string, era, revision, count uint64) *wire.Entry {
	e := &wire.Entry{
		Key:   key,
		Value: fmt.Appendf(nil, `{"workspaces":[{"id":"%s-%d-%d-%d"}]}`, key, era, revision, count),
	}
	fleetconfig.SetVersion(e, order.NewVersion(order.At(era, revision), order.StampOf(0, count), order.At(era, revision)))
	return e
}

func removedAt(key string, era, revision, count uint64) *wire.Entry {
	return fleetconfig.Removal(key, order.At(era, revision), order.StampOf(0, count))
}

// Guards against a value of a later era that is dropped, or that replaces a later value of its writer.
func TestValuesOfSeveralEras(t *testing.T) {
	tests := []struct {
		name    string
		entries []*wire.Entry
		// want is the value in force, nil if there is none.
		want  *wire.Entry
		ahead bool
	}{
		{
			name: "later era, lower revision",
			entries: []*wire.Entry{
				stampedEntry("k", 1, 44, 21),
				stampedEntry("k", 2, 41, 25),
			},
			want: stampedEntry("k", 2, 41, 25),
		},
		{
			name: "restored source with an older value",
			entries: []*wire.Entry{
				stampedEntry("k", 1, 44, 21),
				stampedEntry("k", 2, 40, 19),
			},
			want:  stampedEntry("k", 1, 44, 21),
			ahead: true,
		},
		{
			name: "written again after the restore",
			entries: []*wire.Entry{
				stampedEntry("k", 1, 44, 21),
				stampedEntry("k", 2, 40, 19),
				stampedEntry("k", 2, 41, 21),
			},
			want: stampedEntry("k", 2, 41, 21),
		},
		{
			name: "value of an earlier era arrives late",
			entries: []*wire.Entry{
				stampedEntry("k", 2, 41, 25),
				stampedEntry("k", 1, 99, 23),
			},
			want: stampedEntry("k", 2, 41, 25),
		},
		{
			name: "lost value from a node that was cut off",
			entries: []*wire.Entry{
				stampedEntry("k", 2, 40, 19),
				stampedEntry("k", 1, 44, 21),
			},
			want:  stampedEntry("k", 1, 44, 21),
			ahead: true,
		},
		{
			name: "two restores",
			entries: []*wire.Entry{
				stampedEntry("k", 1, 44, 21),
				stampedEntry("k", 2, 40, 19),
				stampedEntry("k", 3, 38, 17),
			},
			want:  stampedEntry("k", 1, 44, 21),
			ahead: true,
		},
		{
			name: "writer without sequence numbers",
			entries: []*wire.Entry{
				stampedEntry("k", 1, 44, 0),
				stampedEntry("k", 2, 40, 0),
			},
			want: stampedEntry("k", 2, 40, 0),
		},
		{
			name: "removed after the restore",
			entries: []*wire.Entry{
				stampedEntry("k", 1, 44, 21),
				removedAt("k", 2, 41, 21),
			},
		},
		{
			name: "restored source with a value older than the removed one",
			entries: []*wire.Entry{
				removedAt("k", 1, 60, 21),
				stampedEntry("k", 2, 41, 19),
			},
		},
		{
			name: "restored source with the removed value",
			entries: []*wire.Entry{
				removedAt("k", 1, 60, 21),
				stampedEntry("k", 2, 41, 21),
			},
		},
		{
			name: "value later than a removal of an earlier era",
			entries: []*wire.Entry{
				removedAt("k", 1, 60, 21),
				stampedEntry("k", 2, 41, 25),
			},
			want: stampedEntry("k", 2, 41, 25),
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := fleetconfig.NewStore()
			for _, e := range tt.entries {
				s.Offer([]*wire.Entry{e})
			}
			got := s.Newest("k")
			switch {
			case tt.want == nil:
				if !fleetconfig.Removed(got) || s.Config().Workspaces() != 0 {
					t.Errorf("in force: %s", got.GetValue())
				}
			case fleetconfig.Removed(got) || string(got.GetValue()) != string(tt.want.GetValue()):
				t.Errorf("got %s, want %s", got.GetValue(), tt.want.GetValue())
			}
			if ahead := len(s.Ahead()) > 0; ahead != tt.ahead {
				t.Errorf("ahead %t", ahead)
			}
			last := order.Position{}
			for _, e := range tt.entries {
				last = order.Max(last, fleetconfig.VersionOf(e).Position())
			}
			if at := fleetconfig.VersionOf(got).Position(); at != last {
				t.Errorf("position %v, want %v", at, last)
			}
		})
	}
}

// history makes entries of three keys, three eras and nine revisions each. One position has one
// value; half of the writers number their values.
func history(codes []int, removals, bad bool) []*wire.Entry {
	out := make([]*wire.Entry, len(codes))
	for i, c := range codes {
		rng := rand.New(rand.NewPCG(uint64(c), 7))
		key, era, revision := fmt.Sprint(c%3), uint64(c/3%3+1), uint64(c/9+1)
		count := uint64(0)
		if c%2 == 0 {
			count = 1 + rng.Uint64N(12)
		}
		out[i] = stampedEntry(key, era, revision, count)
		switch {
		case removals && rng.IntN(4) == 0:
			out[i] = removedAt(key, era, revision, count)
		case bad && rng.IntN(4) == 0:
			out[i].Value = []byte("{")
		}
	}
	return out
}

// storeState returns a text of all values that a store holds and has in force.
func storeState(s *fleetconfig.Store) string {
	text := fmt.Sprint(s.Digest(), s.Config().Position(), s.Ahead())
	for _, kr := range s.Revisions() {
		e := s.Newest(kr.GetKey())
		text += fmt.Sprintf(" %s %v %t %s, %s", kr.GetKey(), fleetconfig.VersionOf(e), e.GetDeleted(), e.GetValue(), s.Entries(kr.GetKey())[0].GetValue())
	}
	return text
}

func TestEntriesOfSeveralErasInAnyOrder(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.MinSuccessfulTests = 2000
	p := gopter.NewProperties(params)
	codes := gen.SliceOfN(24, gen.IntRange(0, 80))
	same := func(codes []int, seed int64, removals, bad bool) bool {
		a, b := fleetconfig.NewStore(), fleetconfig.NewStore()
		list := history(codes, removals, bad)
		for _, e := range list {
			a.Offer([]*wire.Entry{e})
		}
		rng := rand.New(rand.NewPCG(uint64(seed), 1))
		rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for len(list) > 0 {
			n := 1 + rng.IntN(len(list))
			b.Offer(list[:n])
			list = list[n:]
		}
		return storeState(a) == storeState(b)
	}
	p.Property("values and removals", prop.ForAll(
		func(codes []int, seed int64) bool { return same(codes, seed, true, false) }, codes, gen.Int64(),
	))
	p.Property("peers that send joined values", prop.ForAll(
		func(codes []int, cut int) bool {
			all, left, right := fleetconfig.NewStore(), fleetconfig.NewStore(), fleetconfig.NewStore()
			list := history(codes, true, false)
			all.Offer(list)
			left.Offer(list[:cut])
			right.Offer(list[cut:])
			for _, kr := range left.Revisions() {
				right.Offer(left.Entries(kr.GetKey()))
			}
			for _, kr := range right.Revisions() {
				left.Offer(right.Entries(kr.GetKey()))
			}
			return storeState(all) == storeState(left) && storeState(all) == storeState(right)
		}, codes, gen.IntRange(0, 24),
	))
	p.Property("the greatest valid value by its writer's order is in force", prop.ForAll(
		func(codes []int) bool {
			s := fleetconfig.NewStore()
			best := map[string]*wire.Entry{}
			for _, e := range history(codes, false, true) {
				s.Offer([]*wire.Entry{e})
				if string(e.GetValue()) == "{" {
					continue
				}
				k := e.GetKey()
				if best[k] == nil || fleetconfig.VersionOf(best[k]).CompareValues(fleetconfig.VersionOf(e)) < 0 {
					best[k] = e
				}
			}
			for k, e := range best {
				if string(s.Entries(k)[0].GetValue()) != string(e.GetValue()) {
					return false
				}
			}
			return true
		}, codes,
	))
	p.TestingRun(t)
}
