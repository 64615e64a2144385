// SPDX-License-Identifier: Apache-2.0

package balance

// Pick is one target taken for one attempt. Release must be called once.
type Pick struct {
	key   string
	gauge *Gauge
}

// Key returns the key of the target, as its Member gave it.
func (p Pick) Key() string { return p.key }

// Release ends the attempt's claim on the target.
func (p Pick) Release() { p.gauge.inFlight.Add(-1) }

// samples is how many targets a pick compares. Two random choices already avoid
// the worst (Mitzenmacher 2001); the pools are small, so that a third costs
// nothing and helps when one of the two was tried before.
const samples = 3

// Pick takes a target: the least loaded of a few random ones, the load being
// what this node has in flight and what the target reported, for each slot.
// random gives random bits; tried names the targets of earlier attempts, which
// are taken only when there is no other, barred those that are never taken. It
// reports false when no other target has a connection left. It does not allocate.
func (p *Pool) Pick(random func() uint64, tried, unavailable []string) (Pick, bool) {
	n := len(p.choices)
	if n == 0 {
		return Pick{}, false
	}
	bits := random()
	best := -1
	for i := range samples {
		at := int(uint16(bits>>(16*i))) * n >> 16
		best = p.better(best, at, tried, unavailable)
	}
	if best >= 0 && p.acquire(best) {
		return p.pick(best), true
	}
	return p.scan(int(bits>>48)*n>>16, tried, unavailable)
}

// PickTrial takes a target on trial for a copy of a repeatable request. It
// reports false when there is none, or this node has one in flight there.
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

// better returns the better of two choices; choices without a connection left,
// tried before or barred are never better than none.
func (p *Pool) better(best, at int, tried, unavailable []string) int {
	c := &p.choices[at]
	if c.gauge.inFlight.Load() >= c.limit || contains(tried, c.key) || contains(unavailable, c.key) {
		return best
	}
	if best < 0 || p.load(at) < p.load(best) {
		return at
	}
	return best
}

func (p *Pool) load(at int) float64 {
	c := &p.choices[at]
	return (max(float64(c.gauge.inFlight.Load()), c.load) + 1) / c.weight
}

func (p *Pool) acquire(at int) bool {
	c := &p.choices[at]
	if c.gauge.inFlight.Add(1) <= c.limit {
		return true
	}
	c.gauge.inFlight.Add(-1)
	return false
}

func (p *Pool) pick(at int) Pick {
	return Pick{
		key:   p.choices[at].key,
		gauge: p.choices[at].gauge,
	}
}

// scan looks at every target once: first for one not tried, then for any.
func (p *Pool) scan(from int, tried, unavailable []string) (Pick, bool) {
	n := len(p.choices)
	for _, retried := range [...]bool{false, true} {
		for i := range n {
			at := (from + i) % n
			key := p.choices[at].key
			if contains(tried, key) == retried && !contains(unavailable, key) && p.acquire(at) {
				return p.pick(at), true
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
