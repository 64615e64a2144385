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
	// reportInterval is how often a node reports a workspace of which it has callers, as long
	// as that are at most reportsPerSecond; with more of them it reports each less often,
	// so that its messages don't grow with the workspaces: some 500 bytes a second.
	reportInterval   = time.Second
	reportsPerSecond = 20
	// idleAfter is after how long without a request a node gives its reserve back, quietAfter
	// when it reports no more: a caller with two requests in three seconds is silent for
	// longer than idleAfter one time in ten. accountForget is when it forgets the workspace.
	idleAfter       = 3 * time.Second
	quietAfter      = 15 * time.Second
	accountLifetime = time.Minute
	// maxReserveFactor is how many times what it wants a node holds at most, after many
	// requests gave their tokens back.
	maxReserveFactor = 4
	// maxPause is the longest time for which requests are refused without asking again.
	maxPause = 200 * time.Millisecond
	// maxRetryAfter bounds what a refused caller is told to wait, aloneRetry the same on a node
	// that reaches no allocator: it may do so again soon, and other nodes may now.
	maxRetryAfter         = time.Minute
	maxIsolatedRetryAfter = time.Second
	// minRetryAfter is the same from below: a shorter time could round to 0.
	minRetryAfter = time.Millisecond
	// noShareFraction is the part of a limit that all nodes together admit that were told
	// nothing, or nothing lately, and reach no allocator. Nothing is kept back for them.
	noShareFraction = 0.25
	// joinTime is how long after its begin a node may reach no allocator because it hasn't
	// met the others: requests wait for one then. After a loss of power 113 nodes took 0.6 s
	// for that and refused 278 requests, of some 700, of workspaces that kept to their
	// limits. Two requests each without asking ran 84 in 5 s where 67 may, on 104 nodes.
	joinTime = 2 * time.Second
	// assumedNodes is by how many nodes a limit is divided on a node that hears nobody and
	// was told nothing: it can't know how many others are in the same state.
	assumedNodes = 100
)

// Verdict is the answer to a request.
type Verdict uint8

// Verdicts.
const (
	// Admitted means that the request may go on.
	Admitted Verdict = iota
	// Refused means that the workspace sends more than its limit.
	Refused
	// Ask means that the allocator must be asked.
	Ask
)

// Limiter decides on a node which requests of workspaces may enter. It may be used
// concurrently.
type Limiter struct {
	started  time.Time
	mu       sync.Mutex
	accounts map[string]*account
}

// account is what a node knows of one workspace.
type account struct {
	limit Limit
	held  int
	// returned counts the tokens that were given back.
	returned int64
	// isolated counts the requests that were admitted without an allocator.
	isolated int64
	// isolatedBefore are those of them that came before the allocator's last answer.
	isolatedBefore int64
	demand         meter
	// reported is when the allocator was last told.
	reported time.Time
	// share is the allocator's last answer, toldAt when it came, the zero time for never.
	share   Share
	shareAt time.Time
	// pausedUntil is until when requests are refused without asking.
	pausedUntil time.Time
	// pacer bounds what is admitted without an allocator; nil while none was.
	pacer *Pacer
	// nextRetry is when the last refused caller was told to come back.
	nextRetry time.Time
}

// NewLimiter returns a limiter of a process that began at the time given.
func NewLimiter(started time.Time) *Limiter {
	return &Limiter{
		started:  started,
		accounts: map[string]*account{},
	}
}

// Take takes a request of a workspace. A refused one is told when its caller may come
// back.
func (l *Limiter) Take(now time.Time, workspace string, limit Limit) (Verdict, time.Duration) {
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
		return Ask, 0
	}
}

// retryAfter gives a refused caller its place among those that were refused before it: at
// the pace at which tokens come, so that they don't all return at once.
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

// Refuse refuses a request for which the allocator had no token.
func (l *Limiter) Refuse(now time.Time, workspace string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil {
		return minRetryAfter
	}
	return a.retryAfter(now)
}

// Alone decides about a request for which no allocator could be asked; nodes is how many
// nodes are known to share the limit, this one included.
func (l *Limiter) Alone(now time.Time, workspace string, limit Limit, nodes int) (Verdict, time.Duration) {
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

// Meeting reports whether this node has just begun and no allocator has told it of a
// workspace: it may meet one soon.
func (l *Limiter) Meeting(now time.Time, workspace string) bool {
	if now.Sub(l.started) >= joinTime {
		return false
	}
	_, at := l.Told(workspace)
	return at.IsZero()
}

// GiveBack returns the token of a request that has not run.
func (l *Limiter) GiveBack(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[workspace]; a != nil {
		a.held++
	}
}

// trimReserve gives back what is held beyond some tokens.
func (a *account) trimReserve(most int) {
	if spare := a.held - most; spare > 0 {
		a.held -= spare
		a.returned += int64(spare)
	}
}

// interval returns how often a workspace is reported.
func (l *Limiter) interval() time.Duration {
	return max(reportInterval, time.Duration(len(l.accounts))*time.Second/reportsPerSecond)
}

// Due returns the workspaces that should be reported now, and forgets those that are out
// of use.
func (l *Limiter) Due(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	every := l.interval()
	var out []string
	for workspace, a := range l.accounts {
		idle := now.Sub(a.demand.last)
		switch {
		case idle > accountLifetime:
			delete(l.accounts, workspace)
		case a.reported.Sub(a.demand.last) > quietAfter:
		case now.Sub(a.reported) >= every:
			out = append(out, workspace)
		}
	}
	slices.Sort(out)
	return out
}

// Report returns what the allocator should know of a workspace, for which some requests
// wait, and its limit. It returns false for a workspace out of use.
func (l *Limiter) Report(now time.Time, workspace string, waiting int) (Report, Limit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil {
		return Report{}, Limit{}, false
	}
	every := l.interval()
	a.reported = now
	demand := a.demand.rate(now)
	want := int(math.Ceil(demand * every.Seconds()))
	switch idle := now.Sub(a.demand.last); {
	case idle > quietAfter:
		want, demand = 0, 0
	case idle > idleAfter:
		want = 0
	}
	a.trimReserve(maxReserveFactor * want)
	r := Report{
		Returned: a.returned,
		Alone:    a.isolated,
		Held:     a.held,
		Want:     want,
		Waiting:  waiting,
		Demand:   demand,
		Every:    every,
	}
	if !a.shareAt.IsZero() {
		r.Level = a.share.Level
		r.Rate = a.share.Rate
		r.Total = a.share.Total
		r.By = a.share.By
		r.Age = max(now.Sub(a.shareAt), 1)
		r.Lately = a.isolated - a.isolatedBefore
	}
	return r, a.limit, true
}

// Answer takes an allocator's answer to a report for which some requests wait, and returns
// how many of them are admitted.
func (l *Limiter) Answer(now time.Time, workspace string, s Share, waiting int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[workspace]
	if a == nil {
		return min(s.Admitted, waiting)
	}
	a.share = s
	a.shareAt = now
	a.isolatedBefore = a.isolated
	a.held += s.Reserve
	if s.Admitted < waiting {
		a.pausedUntil = now.Add(a.pauseFor(now))
	}
	return min(s.Admitted, waiting)
}

// pauseFor returns for how long no token can be expected: until the bucket has one, or
// where many nodes wait for it the time between two of this one's.
func (a *account) pauseFor(now time.Time) time.Duration {
	pause := a.share.Wait
	if a.share.Pace > 0 && a.demand.rate(now) > a.share.Pace {
		pause = max(pause, time.Duration(float64(time.Second)/a.share.Pace))
	}
	return min(pause, maxPause)
}

// Told returns what the allocator of a workspace last answered, and when; the zero time
// means never.
func (l *Limiter) Told(workspace string) (Share, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[workspace]; a != nil {
		return a.share, a.shareAt
	}
	return Share{}, time.Time{}
}

// Standing is what a node has of the limit of one workspace.
type Standing struct {
	Workspace string
	Limit     Limit
	// Demand is how many requests a second come to the node, Held its tokens in reserve.
	Demand float64
	Held   int
	// Told is what the allocator last answered, At when; the zero time means never.
	Told Share
	At   time.Time
}

// Standings returns what the node has of the limits of all workspaces, by name.
func (l *Limiter) Standings(now time.Time) []Standing {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Standing, 0, len(l.accounts))
	for workspace, a := range l.accounts {
		out = append(out, Standing{
			Workspace: workspace,
			Limit:     a.limit,
			Demand:    a.demand.rate(now),
			Held:      a.held,
			Told:      a.share,
			At:        a.shareAt,
		})
	}
	slices.SortFunc(out, func(a, b Standing) int { return strings.Compare(a.Workspace, b.Workspace) })
	return out
}

// Len returns the number of workspaces that are known.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts)
}
