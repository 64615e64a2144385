// SPDX-License-Identifier: Apache-2.0

package outlier

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/policy"
)

// Service is the configuration of a service for its observer.
type Service struct {
	Name      string
	Policy    *policy.Program
	Threshold float64
	Targets   []string
}

// Decision is an observer's decision on a target: to eject it for a lease or, with
// Draining set, that it is draining.
type Decision struct {
	Service  string
	Target   string
	Score    float64
	Lease    time.Duration
	Draining bool
}

// Observer merges the evidence of many nodes about one service. It keeps two
// scores of each target: one from the nodes of its own data hall, which detects
// faults visible only there, such as a network partition; and one from all nodes,
// which is faster. It isn't safe for concurrent use.
type Observer struct {
	service       Service
	hall          *Detector
	all           *Detector
	hallEvidence  *merger
	allEvidence   *merger
	summary       map[string]*Counts
	drainingUntil map[string]time.Time
	drainingSent  map[string]time.Time
	ejections     map[string]*ejection
	reporters     map[string]time.Time
	halls         map[string]time.Time
}

// sourceExpiry is how long a source of evidence counts after its last report.
const sourceExpiry = 30 * time.Second

// drainingRepeat is the interval at which a draining signal is forwarded.
const drainingRepeat = 10 * time.Second

// NewObserver returns an observer without evidence.
func NewObserver(s Service) *Observer {
	return &Observer{
		service:       s,
		hall:          NewDetector(s.Threshold),
		all:           NewDetector(s.Threshold),
		hallEvidence:  newMerger(),
		allEvidence:   newMerger(),
		summary:       map[string]*Counts{},
		drainingUntil: map[string]time.Time{},
		drainingSent:  map[string]time.Time{},
		ejections:     map[string]*ejection{},
		reporters:     map[string]time.Time{},
		halls:         map[string]time.Time{},
	}
}

// Configure replaces the configuration of the service. The evidence on its targets
// is retained.
func (o *Observer) Configure(s Service) {
	o.service = s
	o.hall.threshold = s.Threshold
	o.all.threshold = s.Threshold
	listed := map[string]bool{}
	for _, t := range s.Targets {
		listed[t] = true
	}
	o.hallEvidence.retain(listed)
	o.allEvidence.retain(listed)
	o.hall.Retain(listed)
	o.all.Retain(listed)
	for t := range o.ejections {
		if !listed[t] {
			delete(o.ejections, t)
		}
	}
	for t := range o.drainingSent {
		if !listed[t] {
			delete(o.drainingSent, t)
		}
	}
}

// Report records the evidence of a node in the observer's data hall.
func (o *Observer) Report(now time.Time, node, dataHall string, c Counts) {
	o.hallEvidence.add(node, c)
	addCounts(o.summary, c)
	o.record(now, node, dataHall, c)
}

// Summary records the evidence of another data hall, which counts as one source.
func (o *Observer) Summary(now time.Time, dataHall string, c Counts) {
	o.record(now, "data hall "+dataHall, dataHall, c)
}

func (o *Observer) record(now time.Time, source, dataHall string, c Counts) {
	o.allEvidence.add(source, c)
	if c.Draining {
		o.recordDraining(now, c.Target)
	}
	o.reporters[source] = now
	o.halls[dataHall] = now
}

func addCounts(to map[string]*Counts, c Counts) {
	t := to[c.Target]
	if t == nil {
		t = &Counts{
			Target: c.Target,
		}
		to[c.Target] = t
	}
	t.add(c)
}

// recordDraining records that a target is draining. The signal is forwarded when it
// is new and then at intervals of drainingRepeat.
func (o *Observer) recordDraining(now time.Time, target string) {
	if now.Sub(o.drainingSent[target]) >= drainingRepeat {
		o.drainingUntil[target] = now.Add(DrainingTime)
		o.drainingSent[target] = now
	}
}

func drainCounts(from map[string]*Counts) []Counts {
	out := make([]Counts, 0, len(from))
	for _, c := range from {
		out = append(out, *c)
	}
	clear(from)
	return out
}

// urgentShare is the fraction of the threshold above which evidence is sent to the
// observers of the other data halls at once.
const urgentShare = 0.25

// Urgent reports whether the next summary should be sent at once: evidence against
// a target accumulates, or a target is draining.
func (o *Observer) Urgent() bool {
	for _, c := range o.summary {
		if c.Draining || o.hall.Score(c.Target).Score > urgentShare*o.service.Threshold {
			return true
		}
	}
	return false
}

// TakeSummary returns the reports of the data hall's nodes since the last call, for
// the observers of the other data halls.
func (o *Observer) TakeSummary() []Counts { return drainCounts(o.summary) }

// Reporters returns the number of sources of recent evidence.
func (o *Observer) Reporters(now time.Time) int { return countRecent(o.reporters, now) }

// countRecent deletes expired sources and returns the number of the others.
func countRecent(m map[string]time.Time, now time.Time) int {
	for k, at := range m {
		if now.Sub(at) > sourceExpiry {
			delete(m, k)
		}
	}
	return len(m)
}

// Advance evaluates the evidence since the last call and returns the new decisions.
func (o *Observer) Advance(now time.Time) []Decision {
	o.hall.Update(now, o.hallEvidence.drain(now))
	o.all.Update(now, o.allEvidence.drain(now))
	var out []Decision
	for _, t := range o.service.Targets {
		if decision, ok := o.decide(now, t); ok {
			out = append(out, decision)
		}
	}
	for t, until := range o.drainingUntil {
		out = append(out, Decision{
			Service:  o.service.Name,
			Target:   t,
			Lease:    until.Sub(now),
			Draining: true,
		})
		delete(o.drainingUntil, t)
	}
	return out
}

// decide ejects the target if the policy counts it as sick and it isn't ejected yet.
func (o *Observer) decide(now time.Time, target string) (Decision, bool) {
	s := o.hall.Score(target)
	if all := o.all.Score(target); all.Score > s.Score {
		s = all
	}
	if s.Score == 0 || !o.sick(now, s) {
		return Decision{}, false
	}
	e := o.ejections[target]
	if e == nil {
		e = &ejection{}
		o.ejections[target] = e
	}
	if e.active(now) {
		return Decision{}, false
	}
	e.start(now)
	o.hall.Reset(target)
	o.all.Reset(target)
	return Decision{
		Service: o.service.Name,
		Target:  target,
		Score:   s.Score,
		Lease:   e.duration,
	}, true
}

func (o *Observer) sick(now time.Time, s Score) bool {
	return o.service.Policy.Sick(s.Health(o.service.Threshold, countRecent(o.reporters, now), countRecent(o.halls, now)))
}
