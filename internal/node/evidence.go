// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Intervals of reports.
const (
	// observeInterval is how often an observer evaluates targets.
	observeInterval = ejectionInterval
	// Good requests are reported at a slower interval that grows with the fleet, so that the cost
	// for each node stays constant; bad ones are reported at once.
	minSlowInterval     = 2 * time.Second
	maxSlowInterval     = 30 * time.Second
	slowIntervalPerNode = 30 * time.Millisecond
	// Up to sampleNodes nodes all evidence is reported. In a larger fleet about that many nodes, at
	// random, report good requests at a time, weighted for those left out.
	sampleNodes = 100
	// observersPerService is how many observers each data hall has for a service.
	observersPerService = 1
	// observerTimeout is after how long without reports an observer's state is dropped.
	observerTimeout = 2 * time.Minute
)

// observerLink sends reports and ejection decisions to other nodes.
type observerLink struct {
	sendReports   func(ctx context.Context, peer string, in *wire.ReportBatch) error
	sendDecisions func(ctx context.Context, peer string, in *wire.VerdictBatch) error
	failed        func(peer string)
	self          func() *wire.Node
}

// pendingEvidence is the evidence about one service that has not been reported yet.
type pendingEvidence struct {
	targets map[uint32]*wire.TargetEvidence
	urgent  bool
	sent    time.Time
}

// evidenceController sends this node's evidence to the observers and fulfils this node's own role
// as one. It may be used concurrently.
type evidenceController struct {
	board            *Board
	link             observerLink
	deliver          func(now time.Time, decision outlier.Decision, key uint32)
	log              *logrus.Entry
	mu               sync.Mutex
	pending          map[string]*pendingEvidence
	observedServices map[string]*observedService
	// busy are the observers to which a report is under way.
	busy map[string]bool
}

func newEvidenceController(board *Board, link observerLink, deliver func(time.Time, outlier.Decision, uint32), log *logrus.Entry) *evidenceController {
	return &evidenceController{
		board:            board,
		link:             link,
		deliver:          deliver,
		log:              log,
		pending:          map[string]*pendingEvidence{},
		observedServices: map[string]*observedService{},
		busy:             map[string]bool{},
	}
}

// collect adds the evidence of one tick of this node.
func (o *evidenceController) collect(_ time.Time, evidence []outlier.Evidence) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range evidence {
		o.add(e.Service, &wire.TargetEvidence{
			Target:  outlier.Key(e.Counts.Target),
			Good:    uint32(e.Counts.Good),
			Bad:     uint32(e.Counts.Bad),
			Stalled: uint32(e.Counts.Stalled),
			Leaving: e.Counts.Draining,
		})
	}
}

// add adds evidence to the next report.
func (o *evidenceController) add(service string, e *wire.TargetEvidence) {
	p := o.pending[service]
	if p == nil {
		p = &pendingEvidence{
			targets: map[uint32]*wire.TargetEvidence{},
		}
		o.pending[service] = p
	}
	t := p.targets[e.GetTarget()]
	if t == nil {
		t = &wire.TargetEvidence{
			Target: e.GetTarget(),
		}
		p.targets[e.GetTarget()] = t
	}
	t.Good += e.GetGood()
	t.Bad += e.GetBad()
	t.Stalled += e.GetStalled()
	t.Leaving = t.Leaving || e.GetLeaving()
	p.urgent = p.urgent || e.GetBad() > 0 || e.GetLeaving()
}

// restore adds the evidence of failed reports to the next one.
func (o *evidenceController) restore(reports []*wire.Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range reports {
		for _, e := range r.GetTargets() {
			o.add(r.GetService(), e)
		}
	}
}

// run sends reports and evaluates targets at each tick until the context ends.
func (o *evidenceController) run(ctx context.Context) error {
	var calls task.Group
	tick := time.NewTicker(observeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return calls.Wait()
		case <-tick.C:
		}
		now := time.Now()
		o.send(ctx, &calls, o.dueReports(now), false)
		summaries, decisions := o.advance(now)
		o.send(ctx, &calls, summaries, true)
		o.broadcastDecisions(ctx, &calls, now, decisions)
		if err := calls.Reap(); err != nil {
			o.log.WithError(err).Debug("not all peers reached")
		}
	}
}

// dueReports returns the reports that are due, by observer.
func (o *evidenceController) dueReports(now time.Time) map[string][]*wire.Report {
	view := o.board.view.Load()
	slow := slowInterval(view.Nodes())
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string][]*wire.Report{}
	for name, p := range o.pending {
		if len(p.targets) == 0 || !p.urgent && now.Sub(p.sent) < slow {
			continue
		}
		observers := view.Role(observerRole(name), view.Self().DataHall(), observersPerService)
		if slices.ContainsFunc(observers, func(n membership.Node) bool { return o.busy[n.Address()] }) {
			// A report that hangs must not delay others.
			continue
		}
		o.pending[name] = &pendingEvidence{
			targets: map[uint32]*wire.TargetEvidence{},
			sent:    now,
		}
		r := p.report(name, sampleWeight(view.Nodes()))
		if r == nil {
			continue
		}
		for _, n := range observers {
			out[n.Address()] = append(out[n.Address()], r)
		}
	}
	return out
}

// sampleWeight returns for how many nodes the good evidence of one node counts.
func sampleWeight(nodes int) int {
	return max((nodes+sampleNodes/2)/sampleNodes, 1)
}

// report returns the report of a service, or nil if it is not sampled. Urgent evidence is always
// reported, unweighted.
func (p *pendingEvidence) report(service string, weight int) *wire.Report {
	if p.urgent {
		weight = 1
	}
	if rand.IntN(weight) != 0 {
		return nil
	}
	r := &wire.Report{
		Service: service,
	}
	for _, t := range p.targets {
		t.Good *= uint32(weight)
		r.Targets = append(r.Targets, t)
	}
	return r
}

// slowInterval is the time between two reports without urgent evidence.
func slowInterval(nodes int) time.Duration {
	return min(max(slowIntervalPerNode*time.Duration(nodes), minSlowInterval), maxSlowInterval)
}

func observerRole(service string) string { return "observer/" + service }

// send sends reports to their observers without waiting for them. Those to this node itself are
// observed directly.
func (o *evidenceController) send(ctx context.Context, calls *task.Group, reports map[string][]*wire.Report, summary bool) {
	self := o.link.self()
	for peer, list := range reports {
		batch := &wire.ReportBatch{
			From:    self,
			Reports: list,
			Summary: summary,
		}
		if peer == self.GetAddress() {
			o.observe(time.Now(), batch)
			continue
		}
		o.setBusy(peer, true)
		calls.Go(ctx, "report", func(ctx context.Context) error {
			defer o.setBusy(peer, false)
			err := o.link.sendReports(ctx, peer, batch)
			if err == nil {
				return nil
			}
			o.link.failed(peer)
			if !summary {
				o.restore(list)
			}
			return err
		})
	}
}

func (o *evidenceController) setBusy(peer string, busy bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if busy {
		o.busy[peer] = true
	} else {
		delete(o.busy, peer)
	}
}
