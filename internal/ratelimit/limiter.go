// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"
)

// Times and counts of nodes.
const (
	// reportInterval is the time between reports of a workspace in use, for up to
	// reportsPerSecond workspaces. With more of them each is reported less often, so that the
	// messages of a node stay at some 500 bytes a second.
	reportInterval   = time.Second
	reportsPerSecond = 20
	// idleAfter is after how long without a request a node returns its reserve, quietAfter after
	// how long it stops reporting: a caller with two requests in three seconds pauses for longer
	// than idleAfter one time in ten. accountLifetime is when the workspace's account is dropped.
	idleAfter       = 3 * time.Second
	quietAfter      = 15 * time.Second
	accountLifetime = time.Minute
	// maxReserveFactor bounds the reserve, as a multiple of the wanted one, after many requests
	// returned their tokens.
	maxReserveFactor = 4
	// maxPause is the longest time for which requests are refused without asking the allocator.
	maxPause = 200 * time.Millisecond
	// maxRetryAfter bounds the retry time of a refused caller, maxIsolatedRetryAfter that on an
	// isolated node: it may reach an allocator again soon, and other nodes may already.
	maxRetryAfter         = time.Minute
	maxIsolatedRetryAfter = time.Second
	// minRetryAfter is the shortest retry time; a shorter one could round to 0.
	minRetryAfter = time.Millisecond
	// noShareFraction is the fraction of a limit that all isolated nodes together admit that
	// have no share, or an outdated one. Nothing is withheld for them.
	noShareFraction = 0.25
	// joinTime is how long after its start a node may reach no allocator because it has not
	// joined the fleet yet; requests wait for one meanwhile. After a loss of power 113 nodes
	// took 0.6 s to join and refused 278 of some 700 requests of workspaces that kept to their
	// limits. With two requests a node admitted without asking, 84 ran in 5 s on 104 nodes
	// where 67 are allowed.
	joinTime = 2 * time.Second
	// assumedNodes is the number of nodes by which a limit is divided on a node that reaches no
	// other and has no share: it can't tell how many others are in the same state.
	assumedNodes = 100
)

// Decision is the decision about a request.
type Decision uint8

// Decisions about requests.
const (
	// Admitted means that the request may be forwarded.
	Admitted Decision = iota
	// Refused means that the workspace exceeds its limit.
	Refused
	// NeedsAllocator means that the allocator must be asked.
	NeedsAllocator
)

// Limiter decides on a node which requests of workspaces are admitted. It may be used
// concurrently.
type Limiter struct {
	started  time.Time
	mu       sync.Mutex
	accounts map[string]*account
}

// account is the state of one workspace on a node.
type account struct {
	limit Limit
	held  int
	// returned counts the tokens that were returned to the allocator.
	returned int64
	// isolated counts the requests that were admitted while the node was isolated.
	isolated int64
	// isolatedAtShare is the value of isolated at the allocator's last answer.
	isolatedAtShare int64
	demand          meter
	// reportedAt is the time of the last report to an allocator.
	reportedAt time.Time
	// share is the allocator's last answer, shareAt the time of its arrival, the zero time for none.
	share   Share
	shareAt time.Time
	// pausedUntil is until when requests are refused without asking the allocator.
	pausedUntil time.Time
	// pacer bounds what is admitted while the node is isolated; nil before the first such request.
	pacer *Pacer
	// nextRetry is the retry time of the last refused caller.
	nextRetry time.Time
}

// NewLimiter returns a limiter of a process that started at the given time.
func NewLimiter(started time.Time) *Limiter {
	return &Limiter{
		started:  started,
		accounts: map[string]*account{},
	}
}

// Take decides about a request of a workspace. For a refused one it returns after how long
// its caller may retry.
func (l *Limiter) Take(now time.Time, workspace string, limit Limit) (Decision, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil {
		a = &account{}
		l.accounts[workspace] = a
	}
	a.limit = limit
	a.demand.add(now)
	switch {
	case a.held > 0:
		a.held--
		return Admitted, 0
	case now.Before(a.pausedUntil):
		return Refused, a.retryAfter(now)
	default:
		return NeedsAllocator, 0
	}
}

// retryAfter returns the wait of a refused caller. Retries are spaced at the pace of the tokens,
// so that callers don't all return at once.
func (a *account) retryAfter(now time.Time) time.Duration {
	pace := a.share.Pace
	if pace <= 0 {
		pace = a.limit.Rate / assumedNodes
	}
	if a.nextRetry.Before(now) {
		a.nextRetry = now
	}
	a.nextRetry = a.nextRetry.Add(time.Duration(float64(time.Second) / pace))
	if latest := now.Add(maxRetryAfter); a.nextRetry.After(latest) {
		a.nextRetry = latest
	}
	return max(a.nextRetry.Sub(now), minRetryAfter)
}

// Refuse refuses a request for which the allocator had no token, and returns after how long
// its caller may retry.
func (l *Limiter) Refuse(now time.Time, workspace string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil {
		return minRetryAfter
	}
	return a.retryAfter(now)
}

// DecideIsolated decides about a request while the node is isolated; nodes is how many nodes are known
// to share the limit, including this one.
func (l *Limiter) DecideIsolated(now time.Time, workspace string, limit Limit, nodes int) (Decision, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil {
		return Refused, maxPause
	}
	rate, depth := a.share.Rate, a.share.Depth
	if now.Sub(a.shareAt) > isolatedRateLifetime {
		if nodes < 2 {
			nodes = assumedNodes
		}
		rate, depth = noShareFraction*limit.Rate/float64(nodes), noShareFraction*limit.Burst/float64(nodes)
	}
	if a.pacer == nil {
		a.pacer = NewPacer(now, depth)
	}
	if wait := a.pacer.Take(now, rate, depth); wait > 0 {
		return Refused, min(max(wait, minRetryAfter), maxIsolatedRetryAfter)
	}
	a.isolated++
	return Admitted, 0
}

// Joining reports whether this node started less than joinTime ago and no allocator has answered
// for the workspace: it may reach one soon.
func (l *Limiter) Joining(now time.Time, workspace string) bool {
	if now.Sub(l.started) >= joinTime {
		return false
	}
	_, at := l.LastShare(workspace)
	return at.IsZero()
}

// Return returns the token of a request that has not run.
func (l *Limiter) Return(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[workspace]; a != nil {
		a.held++
	}
}

// trimReserve returns the tokens held beyond limit to the allocator.
func (a *account) trimReserve(limit int) {
	if spare := a.held - limit; spare > 0 {
		a.held -= spare
		a.returned += int64(spare)
	}
}

// interval returns the time between reports of a workspace.
func (l *Limiter) interval() time.Duration {
	return max(reportInterval, time.Duration(len(l.accounts))*time.Second/reportsPerSecond)
}

// Due returns the workspaces that should be reported now, and drops those without a request
// for accountLifetime.
func (l *Limiter) Due(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	interval := l.interval()
	var out []string
	for workspace, a := range l.accounts {
		idle := now.Sub(a.demand.last)
		switch {
		case idle > accountLifetime:
			delete(l.accounts, workspace)
		case a.reportedAt.Sub(a.demand.last) > quietAfter:
		case now.Sub(a.reportedAt) >= interval:
			out = append(out, workspace)
		}
	}
	slices.Sort(out)
	return out
}

// Report returns the report of a workspace, for which some requests wait, and its limit. It
// returns false for a workspace without an account.
func (l *Limiter) Report(now time.Time, workspace string, waiting int) (Report, Limit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil {
		return Report{}, Limit{}, false
	}
	interval := l.interval()
	a.reportedAt = now
	demand := a.demand.rate(now)
	want := int(math.Ceil(demand * interval.Seconds()))
	switch idle := now.Sub(a.demand.last); {
	case idle > quietAfter:
		want, demand = 0, 0
	case idle > idleAfter:
		want = 0
	}
	a.trimReserve(maxReserveFactor * want)
	r := Report{
		Returned: a.returned,
		Isolated: a.isolated,
		Held:     a.held,
		Want:     want,
		Waiting:  waiting,
		Demand:   demand,
		Interval: interval,
	}
	if !a.shareAt.IsZero() {
		r.Level = a.share.Level
		r.Rate = a.share.Rate
		r.RateSum = a.share.RateSum
		r.Allocator = a.share.Allocator
		r.Age = max(now.Sub(a.shareAt), 1)
		r.IsolatedRecent = a.isolated - a.isolatedAtShare
	}
	return r, a.limit, true
}

// Apply applies an allocator's answer to a report for which some requests wait, and returns
// how many of them are admitted.
func (l *Limiter) Apply(now time.Time, workspace string, s Share, waiting int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil {
		return min(s.Admitted, waiting)
	}
	a.share = s
	a.shareAt = now
	a.isolatedAtShare = a.isolated
	a.held += s.Reserve
	if s.Admitted < waiting {
		a.pausedUntil = now.Add(a.pauseFor(now))
	}
	return min(s.Admitted, waiting)
}

// pauseFor returns for how long no token can be expected: until the bucket has one, or
// where the demand exceeds the node's pace the time between two of its tokens.
func (a *account) pauseFor(now time.Time) time.Duration {
	pause := a.share.Wait
	if a.share.Pace > 0 && a.demand.rate(now) > a.share.Pace {
		pause = max(pause, time.Duration(float64(time.Second)/a.share.Pace))
	}
	return min(pause, maxPause)
}

// LastShare returns the last answer of the allocator of a workspace and the time of its arrival;
// the zero time means none.
func (l *Limiter) LastShare(workspace string) (Share, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[workspace]; a != nil {
		return a.share, a.shareAt
	}
	return Share{}, time.Time{}
}

// Status is the state of one workspace's limit on a node.
type Status struct {
	Workspace string
	Limit     Limit
	// Demand is how many requests a second arrive at the node, Held its tokens in reserve.
	Demand float64
	Held   int
	// Share is the allocator's last answer, At the time of its arrival; the zero time means none.
	Share Share
	At    time.Time
}

// Statuses returns the state of the limits of all workspaces, sorted by name.
func (l *Limiter) Statuses(now time.Time) []Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Status, 0, len(l.accounts))
	for workspace, a := range l.accounts {
		out = append(out, Status{
			Workspace: workspace,
			Limit:     a.limit,
			Demand:    a.demand.rate(now),
			Held:      a.held,
			Share:     a.share,
			At:        a.shareAt,
		})
	}
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.Workspace, b.Workspace) })
	return out
}

// Len returns the number of workspaces with an account.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts)
}
