// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"math"
	"sync"
	"time"
)

// maxBuckets bounds the table of active workspaces. At the bound the workspaces
// whose bucket is full are forgotten: a full bucket is what a new one starts as.
const maxBuckets = 8192

// minWait is the least time that a refused request is told to wait. A shorter
// one could round to 0, which means that the request may enter.
const minWait = time.Millisecond

// bucket is the token bucket of one workspace on this node.
type bucket struct {
	tokens float64
	at     time.Time
}

// Limiter bounds the requests of workspaces. It may be used concurrently.
type Limiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// NewLimiter returns a limiter without active workspaces.
func NewLimiter() *Limiter {
	return &Limiter{
		buckets: map[string]*bucket{},
	}
}

// Admit takes one request of workspace id, whose limits for the whole fleet are
// rate in requests a second and burst in requests, on one of nodes nodes. A rate
// of 0 admits all. It returns 0 if the request may enter, else after how long
// the next one may.
func (l *Limiter) Admit(now time.Time, id string, rate, burst float64, nodes int) time.Duration {
	if rate <= 0 {
		return 0
	}
	share := rate / float64(max(nodes, 1))
	capacity := math.Max(burst/float64(max(nodes, 1)), 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, id, share, capacity)
	b.refill(now, share, capacity)
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	wait := time.Duration((1 - b.tokens) / share * float64(time.Second))
	return max(wait, minWait)
}

func (b *bucket) refill(now time.Time, share, capacity float64) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.tokens += elapsed * share
		b.at = now
	}
	b.tokens = math.Min(b.tokens, capacity)
}

func (l *Limiter) bucket(now time.Time, id string, share, capacity float64) *bucket {
	if b := l.buckets[id]; b != nil {
		return b
	}
	if len(l.buckets) >= maxBuckets {
		l.evict(now, share, capacity)
	}
	b := &bucket{
		tokens: capacity,
		at:     now,
	}
	l.buckets[id] = b
	return b
}

// evict forgets a few idle workspaces: those whose bucket would be full by now
// at the asking workspace's rate, else any that it meets first.
func (l *Limiter) evict(now time.Time, share, capacity float64) {
	const maxScanned = 64
	scanned := 0
	var oldest string
	var at time.Time
	for id, b := range l.buckets {
		if oldest == "" || b.at.Before(at) {
			oldest, at = id, b.at
		}
		if now.Sub(b.at).Seconds()*share >= capacity {
			delete(l.buckets, id)
		}
		if scanned++; scanned >= maxScanned {
			break
		}
	}
	if len(l.buckets) >= maxBuckets {
		delete(l.buckets, oldest)
	}
}

// Active returns the number of workspaces in the table.
func (l *Limiter) Active() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.buckets)
}
