// SPDX-License-Identifier: Apache-2.0

package fleetconfig_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// randomEntry returns a value of one of a few keys: a registration, perhaps of a target under another
// key too or of a missing service, or a document, perhaps invalid.
func randomEntry(rng *rand.Rand, revision uint64) *wire.Entry {
	e := &wire.Entry{
		Key:      fmt.Sprintf("targets/%d", rng.IntN(8)),
		Revision: revision,
		Value: fmt.Appendf(nil, `{"targets":[{"service":"s%d","address":"192.0.2.%d:80","dataHall":"%c","slots":%d,"id":"i%d","leaving":%t,"connections":%d}]}`,
			rng.IntN(3), rng.IntN(4), 'a'+rng.IntN(2), rng.IntN(4), rng.IntN(9), rng.IntN(3) == 0, rng.IntN(2)),
	}
	if rng.IntN(4) == 0 {
		e.Key = fmt.Sprintf("documents/%d", rng.IntN(3))
		services := []string{`{"name":"s0"}`, `{"name":"s1","connections":7}`, `{"name":"s2","connections":8}`}
		e.Value = fmt.Appendf(nil, `{"services":[%s]}`, services[rng.IntN(len(services))])
	}
	if rng.IntN(6) == 0 {
		e.Value, e.Deleted = nil, true
	}
	return e
}

// describeTargets returns a text of the targets of all services, with the results of all lookups.
func describeTargets(c *fleetconfig.Config) string {
	var b strings.Builder
	for i := range 3 {
		s := c.Service(fmt.Sprintf("s%d", i))
		if s == nil {
			continue
		}
		fmt.Fprint(&b, s.Name(), s.Halls(), s.HallSizes())
		for _, t := range s.Targets() {
			fmt.Fprint(&b, " ", t.Key(), t.Address(), t.DataHall(), t.Slots(), t.Connections(), t.Draining(), s.Target(t.Key()) == t)
		}
		b.WriteString("\n")
	}
	return b.String()
}

// Guards against targets that are lost, or remain, depending on earlier values.
func TestTargetsInForceMatchNewestValues(t *testing.T) {
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 42))
		s := fleetconfig.NewStore()
		for revision := range uint64(60) {
			var batch []*wire.Entry
			for range 1 + rng.IntN(3) {
				batch = append(batch, randomEntry(rng, revision*3+uint64(len(batch))+1))
			}
			s.Offer(batch)
			inForce := fleetconfig.NewStore()
			for _, kr := range s.Revisions() {
				if e := s.Entries(kr.GetKey())[0]; s.InForce()[kr.GetKey()] != (order.Position{}) {
					inForce.Offer([]*wire.Entry{e})
				}
			}
			if got, want := describeTargets(s.Config()), describeTargets(inForce.Config()); got != want {
				t.Fatalf("seed %d, step %d: got\n%swant\n%s", seed, revision, got, want)
			}
			for _, r := range s.Refusals() {
				if r.Err() == nil {
					t.Fatalf("seed %d, step %d: %s is refused without a reason", seed, revision, r.Key())
				}
			}
		}
	}
}

// Guards against a change of one target whose cost grows with the number of targets.
func TestCostOfOneTargetIsIndependentOfFleetSize(t *testing.T) {
	cost := func(targets int) float64 {
		s := largeFleet(targets, 60)
		n := uint64(100_000)
		return testing.AllocsPerRun(200, func() {
			n++
			s.Offer([]*wire.Entry{registration(int(n)%targets, n)})
			s.Digest()
		})
	}
	small, large := cost(750), cost(12_000)
	t.Logf("%.0f allocations among 750 targets, %.0f among 12000", small, large)
	if large > 1.1*small {
		t.Errorf("%.0f allocations among 750 targets, %.0f among 12000", small, large)
	}
}

// Guards against faults of the history, which finds the entries after a position without a scan of all keys.
func TestAfterReturnsWhatChangedSince(t *testing.T) {
	s := largeFleet(500, 3)
	for i := range 40 {
		s.Offer([]*wire.Entry{registration(i, uint64(1000+i))})
	}
	got, upTo, more := s.After(order.At(0, 1019), 1<<20)
	if len(got) != 20 || more || upTo != order.At(0, 1039) {
		t.Errorf("%d entries up to %v, more: %t", len(got), upTo, more)
	}
	other, from := fleetconfig.NewStore(), order.Position{}
	for rounds := 0; ; rounds++ {
		got, upTo, more := s.After(from, 4000)
		other.Offer(got)
		from = upTo
		if !more {
			break
		}
		if rounds > 100 {
			t.Fatal("After still reports more values after 100 rounds")
		}
	}
	if s.Digest() != other.Digest() {
		t.Error("values read in batches differ from those of the store")
	}
}

// Guards against a history that grows with the number of changes of the same targets.
func TestHistoryIsBounded(t *testing.T) {
	const targets = 50
	s := largeFleet(targets, 3)
	for n := range uint64(5000) {
		s.Offer([]*wire.Entry{registration(int(n%targets), 1000+n)})
	}
	if n, maxLen := s.HistoryLen(), 2*(targets+1)+64; n > maxLen {
		t.Errorf("%d changes of %d targets, want at most %d", n, targets, maxLen)
	}
	if got, _, _ := s.After(order.Position{}, 1<<20); len(got) != targets+1 {
		t.Errorf("%d values after the zero position", len(got))
	}
}
