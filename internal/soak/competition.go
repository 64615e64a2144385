// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// minCompetitors, maxCompetitors and maxCompetitorWeight bound the competing workspaces and their weights.
	minCompetitors      = 2
	maxCompetitors      = 4
	maxCompetitorWeight = 3
	// minSurge and maxSurge bound how many times its usual demand a workspace sends.
	minSurge = 5
	maxSurge = 10
	// usualDemand is the usual demand of a competing workspace as a fraction of its share of the slots.
	// With a surge of 10 times, the demand of all exceeds the slots even if the least weight surges.
	usualDemand = 0.6
	// competitorWork is the time for which their requests occupy a slot: long enough that callers on a
	// busy machine fill all slots.
	competitorWork = 250 * time.Millisecond
	// calmSurgeTime is the duration of the surge after all faults. It exceeds the deadline of its
	// requests, so that the queue reaches its greatest length.
	calmSurgeTime = 4 * time.Second
	// minServed is the share served of workspaces within their shares. docs/HARD-LOAD.md has none of their
	// requests refused, and counts agree within 2 in 100.
	minServed = 0.98
	// competitorPrefix starts the IDs of competing workspaces, which are also their keys.
	competitorPrefix = "space"
	// competitionStream is the random stream of these plans. With it the regression seeds have no competing
	// workspaces, and seeds 1 and 2, which CI adds, have them without and with a dispatcher.
	competitionStream = 0x15a
)

// addCompetition adds competing workspaces to half of the plans. It uses a separate random source, so
// that the other steps of a seed do not change.
func (p *Plan) addCompetition() {
	rng := rand.New(rand.NewPCG(p.Seed, competitionStream))
	if rng.IntN(2) == 0 {
		return
	}
	for range minCompetitors + rng.IntN(maxCompetitors-minCompetitors+1) {
		p.Weights = append(p.Weights, 1+rng.IntN(maxCompetitorWeight))
	}
	surge := func(at, duration time.Duration) Step {
		return Step{
			At:     at,
			For:    duration,
			Kind:   KindWorkspaceSurges,
			Index:  rng.IntN(len(p.Weights)),
			Factor: minSurge + rng.IntN(maxSurge-minSurge+1),
		}
	}
	p.Steps = append(p.Steps, surge(time.Duration(rng.Int64N(int64(faultTime))), minStepTime+time.Duration(rng.Int64N(int64(maxStepTime-minStepTime)))))
	if p.Joint {
		p.CalmSurge = surge(0, calmSurgeTime)
	}
}

func competitor(index int) string { return fmt.Sprint(competitorPrefix, index) }

// workspaceOf returns the workspace that sends the request with a key.
func workspaceOf(key string) string {
	name, _, _ := strings.Cut(key, "-")
	switch {
	case strings.HasPrefix(key, competitorPrefix):
		return name
	case strings.HasPrefix(key, hotPrefix):
		return "hot"
	default:
		return "usual"
	}
}

// competitors returns the published form of the competing workspaces, each preceded by a comma.
func (f *fleet) competitors() string {
	var out strings.Builder
	for i, weight := range f.plan.Weights {
		fmt.Fprintf(&out, `,{"id":%q,"weight":%d,"keys":[%q]}`, competitor(i), weight, digest(competitor(i)))
	}
	return out.String()
}

// compete sends the requests of a competing workspace at the rate of its demand until the context ends.
func (f *fleet) compete(ctx context.Context, index int) []record {
	c := newClient()
	defer c.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(f.plan.Seed, uint64(competitionStream+1+index)))
	var group sync.WaitGroup
	var mu sync.Mutex
	var out []record
	for i := 0; ctx.Err() == nil; i++ {
		n, method := f.nodes[rng.IntN(len(f.nodes))], randomMethod(rng)
		group.Go(func() {
			r := f.makeCall(c, n, method, fmt.Sprintf("%s-%d", competitor(index), i))
			mu.Lock()
			defer mu.Unlock()
			out = append(out, r)
		})
		time.Sleep(time.Duration(float64(time.Second) / f.demand(index)))
	}
	group.Wait()
	return out
}

// demand returns the requests per second that a competing workspace sends. Its share of the slots counts
// the workspace of the other callers, which has weight 1.
func (f *fleet) demand(index int) float64 {
	weights := 1
	for _, w := range f.plan.Weights {
		weights += w
	}
	f.mu.Lock()
	slots := targetSlots * f.notDraining()
	f.mu.Unlock()
	share := float64(slots*f.plan.Weights[index]) / float64(weights) / competitorWork.Seconds()
	return usualDemand * share * float64(max(f.surges[index].Load(), 1))
}

// surge multiplies the demand of a workspace for the duration of a step.
func (f *fleet) surge(s Step) {
	f.surges[s.Index].Store(int64(s.Factor))
	time.Sleep(s.For)
	f.surges[s.Index].Store(0)
}

// surgeInCalm lets a workspace surge while no fault is active.
func (f *fleet) surgeInCalm() {
	if f.plan.CalmSurge.Factor > 0 {
		f.calmSurge = time.Since(f.started)
		f.surge(f.plan.CalmSurge)
	}
}

// checkShares checks that the other workspaces, which are within their shares, are served during the
// surge without faults. It returns the share served of each.
func (f *fleet) checkShares(records []record) []float64 {
	if f.plan.CalmSurge.Factor == 0 {
		return nil
	}
	sent, served := map[string]int{}, map[string]int{}
	for i := range records {
		if r := &records[i]; r.started >= f.calmSurge && r.started < f.calmSurge+calmSurgeTime {
			sent[workspaceOf(r.Key)]++
			if r.err == nil && r.Status == http.StatusOK {
				served[workspaceOf(r.Key)]++
			}
		}
	}
	var shares []float64
	for i := range f.plan.Weights {
		name := competitor(i)
		shares = append(shares, float64(served[name])/float64(max(sent[name], 1)))
		if i != f.plan.CalmSurge.Index && shares[i] < minServed {
			f.violation("%d of %d requests of %s were served from %.2fs while %s sent %d times its usual demand, at least %.2f of them must be", served[name], sent[name], name, f.calmSurge.Seconds(), competitor(f.plan.CalmSurge.Index), f.plan.CalmSurge.Factor, minServed)
		}
	}
	return shares
}
