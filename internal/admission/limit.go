// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"math"
	"sync"
	"time"
)

// maxBuckets bounds the table of active workspaces. At the bound, workspaces with a
// full bucket are evicted first, which loses nothing: a new bucket is full as well.
const maxBuckets = 8192

// minWait is the least wait that Admit returns for a refused request. A shorter one
// could round to 0, which means that the request is admitted.
const minWait = time.Millisecond

// bucket is the token bucket of one workspace on this node.
type bucket struct {
	tokens float64
	at     time.Time
}

// Limiter limits the request rate of workspaces. It is safe for concurrent use.
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

// Admit returns 0 if a request of workspace id is admitted, otherwise the time until
// the next one will be. rate, in requests per second, and burst, in requests, are the
// limits of the workspace for the whole fleet, of which this is one of nodes nodes.
// A rate of 0 admits all requests.
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

// refill adds the tokens since the last refill, share per second up to capacity.
func (b *bucket) refill(now time.Time, share, capacity float64) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.tokens += elapsed * share
		b.at = now
	}
	b.tokens = math.Min(b.tokens, capacity)
}

// bucket returns the bucket of workspace id and creates a full one if there is none.
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

// evict removes idle workspaces from a sample of the table: those whose bucket would
// be full by now at the rate share, or the least recently used one if there are none.
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
