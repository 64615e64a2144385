// SPDX-License-Identifier: Apache-2.0

package node

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// observedService is the state of one service that this node observes for its data hall.
type observedService struct {
	observer   *outlier.Observer
	config     *fleetconfig.Service
	byKey      map[uint32]string
	lastReport time.Time
	// lastSummary is when the last summary was sent.
	lastSummary time.Time
}

// observe adds the reports of one node. Any node that receives reports serves as an observer: the
// sender may have a newer view of the fleet.
func (o *evidenceController) observe(now time.Time, in *wire.ReportBatch) {
	cfg := o.board.currentConfig()
	if cfg == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range in.GetReports() {
		sc := cfg.Service(r.GetService())
		if sc == nil {
			continue
		}
		s := o.observedService(sc)
		s.lastReport = now
		for _, t := range r.GetTargets() {
			target, ok := s.byKey[t.GetTarget()]
			if !ok {
				continue
			}
			s.add(now, in, outlier.Counts{
				Target:   target,
				Good:     float64(t.GetGood()),
				Bad:      float64(t.GetBad()),
				Stalled:  float64(t.GetStalled()),
				Draining: t.GetLeaving(),
			})
		}
	}
}

func (s *observedService) add(now time.Time, in *wire.ReportBatch, c outlier.Counts) {
	from := in.GetFrom()
	if in.GetSummary() {
		s.observer.Summary(now, from.GetDataHall(), c)
		return
	}
	s.observer.Report(now, from.GetAddress(), from.GetDataHall(), c)
}

// observedService returns the state of a service, in its newest configuration.
func (o *evidenceController) observedService(sc *fleetconfig.Service) *observedService {
	s := o.observedServices[sc.Name()]
	if s != nil && s.config == sc {
		return s
	}
	info := outlier.Service{
		Name:      sc.Name(),
		Policy:    sc.Policy(),
		Threshold: sc.Threshold(),
	}
	byKey := map[uint32]string{}
	for _, t := range sc.Targets() {
		info.Targets = append(info.Targets, t.Key())
		byKey[outlier.Key(t.Key())] = t.Key()
	}
	if s == nil {
		s = &observedService{
			observer: outlier.NewObserver(info),
		}
		o.observedServices[sc.Name()] = s
	} else {
		s.observer.Configure(info)
	}
	s.config = sc
	s.byKey = byKey
	return s
}

// advance evaluates all observed services. It returns the summaries for the observers of the other
// data halls and the new ejection decisions.
func (o *evidenceController) advance(now time.Time) (map[string][]*wire.Report, []outlier.Decision) {
	view := o.board.view.Load()
	halls := view.DataHalls()
	o.mu.Lock()
	defer o.mu.Unlock()
	summaries := map[string][]*wire.Report{}
	var decisions []outlier.Decision
	for name, s := range o.observedServices {
		if now.Sub(s.lastReport) > observerTimeout {
			delete(o.observedServices, name)
			continue
		}
		if r := s.summary(now, slowInterval(view.Nodes())); r != nil {
			for _, h := range halls {
				if h == view.Self().DataHall() {
					continue
				}
				for _, n := range view.Role(observerRole(name), h, observersPerService) {
					summaries[n.Address()] = append(summaries[n.Address()], r)
				}
			}
		}
		decisions = append(decisions, s.observer.Advance(now)...)
	}
	return summaries, decisions
}

// summary returns the evidence for the other data halls, or nil if it is not urgent and the slow
// interval has not passed.
func (s *observedService) summary(now time.Time, slow time.Duration) *wire.Report {
	if !s.observer.Urgent() && now.Sub(s.lastSummary) < slow {
		return nil
	}
	s.lastSummary = now
	counts := s.observer.TakeSummary()
	if len(counts) == 0 {
		return nil
	}
	r := &wire.Report{
		Service:   s.config.Name(),
		Reporters: uint32(s.observer.Reporters(now)),
	}
	for _, c := range counts {
		r.Targets = append(r.Targets, &wire.TargetEvidence{
			Target:  outlier.Key(c.Target),
			Good:    uint32(c.Good),
			Bad:     uint32(c.Bad),
			Stalled: uint32(c.Stalled),
			Leaving: c.Draining,
		})
	}
	return r
}
