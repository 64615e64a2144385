// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Cause is why a connection to a target was opened. The set is fixed: causes are labels of metrics.
type Cause uint8

// Causes.
const (
	// CauseFirst is the first connection to the target.
	CauseFirst Cause = iota
	// CauseNoneIdle means that all connections to the target were in use.
	CauseNoneIdle
	// CauseClosedByTarget means that the target closed an idle connection.
	CauseClosedByTarget
	// CauseClosedForAge means that this node closed an idle connection after its idle timeout.
	CauseClosedForAge
	// CauseTargetSaidClose means that the target announced in a response that it closes the
	// connection.
	CauseTargetSaidClose
	// CauseAfterError means that a connection could not be reused after an attempt: it failed, was
	// cancelled, its response was not read to the end, or idlePerTarget others were idle.
	CauseAfterError
	// CauseCheck is a connection that only checks whether the target can be reached.
	CauseCheck
	causes
)

var causeNames = [causes]string{
	CauseFirst:           "first",
	CauseNoneIdle:        "none_idle",
	CauseClosedByTarget:  "closed_by_target",
	CauseClosedForAge:    "closed_for_age",
	CauseTargetSaidClose: "target_said_close",
	CauseAfterError:      "after_error",
	CauseCheck:           "check",
}

// String returns the cause as a label.
func (c Cause) String() string { return causeNames[c] }

// Bounds of the records of connections.
const (
	// maxPools is the number of records from which on those without open connections are dropped.
	// The next connection to their targets counts as the first one. It is several times the
	// targets that a node sends requests to.
	maxPools = 4096
	// maxPoolAge is the time without a connection after which the next one counts as the first one.
	maxPoolAge = time.Minute
)

// Connections counts the connections to targets by cause. It may be used concurrently.
type Connections struct {
	counts [causes]atomic.Int64

	mu    sync.Mutex
	pools map[poolKey]*pool
}

// poolKey identifies the connections among which one can be reused in place of another.
type poolKey struct {
	address    string
	repeatable bool
}

// pool is the record of the connections of a poolKey.
type pool struct {
	open int
	used time.Time
	// ended are the ends of connections that were not replaced yet, the last one at the end.
	ended []ended
}

// ended is the end of a connection. Its cause is read when the connection is replaced: net/http may close a
// connection before it returns the response that announced it.
type ended struct {
	at  time.Time
	end *connEnd
}

// idleTimeout is the time for which a connection of the pool may be idle.
func (k poolKey) idleTimeout() time.Duration {
	if k.repeatable {
		return idleTimeout
	}
	return idleTimeoutNonRepeatable
}

// expire drops the ends that no longer explain a new connection: without them, the connections would have
// been closed for their age since.
func (p *pool) expire(now time.Time, idle time.Duration) {
	p.ended = slices.DeleteFunc(p.ended, func(e ended) bool { return now.Sub(e.at) > idle })
}

func newConnections() *Connections {
	return &Connections{
		pools: map[poolKey]*pool{},
	}
}

// Each calls fn with each cause that has connections, in a fixed order.
func (c *Connections) Each(fn func(cause Cause, n int64)) {
	for cause := range causes {
		if n := c.counts[cause].Load(); n > 0 {
			fn(cause, n)
		}
	}
}

// count counts a connection that this node opens for a check.
func (c *Connections) count(cause Cause) { c.counts[cause].Add(1) }

// opened counts a new connection. Each end of an earlier connection explains one new connection.
func (c *Connections) opened(now time.Time, k poolKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[k]
	if p != nil && p.open > 0 {
		p.expire(now, k.idleTimeout())
	}
	cause := CauseNoneIdle
	switch {
	case p == nil || p.open == 0 && now.Sub(p.used) > maxPoolAge:
		cause = CauseFirst
		c.drop()
		p = &pool{}
		c.pools[k] = p
	case len(p.ended) > 0:
		cause = p.ended[len(p.ended)-1].end.cause()
		p.ended = p.ended[:len(p.ended)-1]
	}
	p.open++
	p.used = now
	c.counts[cause].Add(1)
}

// drop drops the records without open connections if there are too many. c.mu is held.
func (c *Connections) drop() {
	if len(c.pools) < maxPools {
		return
	}
	for k, p := range c.pools {
		if p.open == 0 {
			delete(c.pools, k)
		}
	}
}

// closed records the end of a connection.
func (c *Connections) closed(now time.Time, k poolKey, end *connEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[k]
	if p == nil {
		return
	}
	p.open--
	p.used = now
	p.expire(now, k.idleTimeout())
	if len(p.ended) < idlePerTarget {
		p.ended = append(p.ended, ended{
			at:  now,
			end: end,
		})
	}
}
