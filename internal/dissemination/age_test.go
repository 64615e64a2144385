// SPDX-License-Identifier: Apache-2.0

package dissemination_test

import (
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/dissemination"
)

// Guards against an age of the last platform contact that stays constant while nodes exchange it:
// each would keep accepting the other's age if a hop added less than its latency.
func TestPlatformAgeGrowsDespiteGossip(t *testing.T) {
	const (
		silence = 4 * time.Second
		// latency is that of a message, interval the time between two messages.
		latency  = 2 * time.Millisecond
		interval = time.Millisecond
		nodes    = 5
	)
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(nodes)
		var order []*peer
		for _, p := range f.peers {
			order = append(order, p)
		}
		order[0].gossip.RecordPlatformContact(time.Now())
		start := time.Now()
		for n := 0; time.Since(start) < silence; n++ {
			from, to := order[n%nodes], order[(n+1+n/nodes%(nodes-1))%nodes]
			age := from.gossip.PlatformAge(time.Now())
			time.Sleep(interval)
			time.AfterFunc(latency-interval, func() { to.gossip.ObservePlatformAge(time.Now(), age) })
		}
		for _, p := range order {
			if age := p.gossip.PlatformAge(time.Now()); age < silence-time.Millisecond {
				t.Errorf("age of the last contact %v, want %v", age, silence)
			}
		}
	})
}

// Guards against ages that leave out the time for which the machine was suspended: the clock by
// which they are measured stands still meanwhile.
func TestAgesIncludeSuspendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		g := dissemination.New(dissemination.Config{
			Suspended: func(time.Time) time.Duration { return suspended },
		}, dissemination.NewReplica(nil))
		time.Sleep(time.Second)
		g.RecordPlatformContact(time.Now())
		g.RecordAgreement(time.Now())
		time.Sleep(time.Second)
		suspended = 5 * time.Second
		if got := g.PlatformAge(time.Now()); got != 6*time.Second {
			t.Errorf("age of the last contact %v, want 6 s", got)
		}
		if got := g.AgreementAge(time.Now()); got != 6*time.Second {
			t.Errorf("age of the last agreement %v, want 6 s", got)
		}
		// A contact after the suspension has the age 0.
		g.RecordPlatformContact(time.Now())
		if got := g.PlatformAge(time.Now()); got != 0 {
			t.Errorf("age of a new contact %v, want 0", got)
		}
	})
}
