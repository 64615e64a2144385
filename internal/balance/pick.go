// SPDX-License-Identifier: Apache-2.0

package balance

// Pick is a target chosen for one attempt. Release must be called once.
type Pick struct {
	key   string
	gauge *Gauge
}

// Key returns the Member.Key of the target.
func (p Pick) Key() string { return p.key }

// Release ends the attempt's use of the target.
func (p Pick) Release() { p.gauge.inFlight.Add(-1) }

// samples is the number of targets that Pick compares. Two random choices already
// avoid the worst (Mitzenmacher 2001); pools are small, so a third is cheap and
// helps when one of the two was tried before.
const samples = 3

// Pick chooses the least loaded of a few random targets. The load is the larger of
// this node's requests in flight and the reported load, per slot. random returns
// random bits; tried lists the targets of earlier attempts, which are chosen only if
// there is no other, and unavailable those that are never chosen. It reports false
// when no available target has a free connection. It does not allocate.
func (p *Pool) Pick(random func() uint64, tried, unavailable []string) (Pick, bool) {
	n := len(p.choices)
	if n == 0 {
		return Pick{}, false
	}
	bits := random()
	best := -1
	for i := range samples {
		index := int(uint16(bits>>(16*i))) * n >> 16
		best = p.better(best, index, tried, unavailable)
	}
	if best >= 0 && p.acquire(best) {
		return p.pick(best), true
	}
	return p.scan(int(bits>>48)*n>>16, tried, unavailable)
}

// PickTrial chooses a target on trial for a copy of a repeatable request. It reports
// false when there is none or the chosen one has a request in flight from this node.
func (p *Pool) PickTrial(random func() uint64) (Pick, bool) {
	n := len(p.trials)
	if n == 0 {
		return Pick{}, false
	}
	c := &p.trials[random()%uint64(n)]
	if !c.gauge.inFlight.CompareAndSwap(0, 1) {
		return Pick{}, false
	}
	return Pick{
		key:   c.key,
		gauge: c.gauge,
	}, true
}

// better returns the index of the less loaded of two choices, or best if that at
// index has no free connection, was tried before or is unavailable.
func (p *Pool) better(best, index int, tried, unavailable []string) int {
	c := &p.choices[index]
	if c.gauge.inFlight.Load() >= c.limit || contains(tried, c.key) || contains(unavailable, c.key) {
		return best
	}
	if best < 0 || p.load(index) < p.load(best) {
		return index
	}
	return best
}

// load returns the load per slot that a further request would lead to.
func (p *Pool) load(index int) float64 {
	c := &p.choices[index]
	return (max(float64(c.gauge.inFlight.Load()), c.load) + 1) / c.weight
}

// acquire counts a request at a target and reports whether it is within the limit.
func (p *Pool) acquire(index int) bool {
	c := &p.choices[index]
	if c.gauge.inFlight.Add(1) <= c.limit {
		return true
	}
	c.gauge.inFlight.Add(-1)
	return false
}

func (p *Pool) pick(index int) Pick {
	return Pick{
		key:   p.choices[index].key,
		gauge: p.choices[index].gauge,
	}
}

// scan examines all targets in order: first those not tried before, then the others.
func (p *Pool) scan(from int, tried, unavailable []string) (Pick, bool) {
	n := len(p.choices)
	for _, retried := range [...]bool{false, true} {
		for i := range n {
			index := (from + i) % n
			key := p.choices[index].key
			if contains(tried, key) == retried && !contains(unavailable, key) && p.acquire(index) {
				return p.pick(index), true
			}
		}
	}
	return Pick{}, false
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
