// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/admission"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/ratelimit"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Times and counts of the limits of workspaces.
const (
	// allocatorRoles is over how many allocators the workspaces are spread in a fleet of more than
	// singleAllocatorNodes nodes: at 1,000 nodes each receives some 1,000 requests a second. A
	// smaller fleet has one allocator, so that a node reports several workspaces in one datagram.
	allocatorRoles       = 32
	singleAllocatorNodes = 256
	// reportCheckInterval is how often a node checks which workspaces it should report.
	reportCheckInterval = 200 * time.Millisecond
	// tokenResendInterval is the time between two sends of a token request, tokenTimeout the time
	// without an answer after which the node decides on its own. A datagram between data halls
	// takes a few milliseconds.
	tokenResendInterval = 25 * time.Millisecond
	tokenTimeout        = 70 * time.Millisecond
	// allocatorBackoff is how long an allocator that did not answer receives no requests.
	allocatorBackoff = 500 * time.Millisecond
	// startRetryInterval is the time between two token requests of a request on a node that starts,
	// maxPaused how many requests may wait for that at a time: a node's share of any usual load in
	// half a second is smaller.
	startRetryInterval = 50 * time.Millisecond
	maxPaused          = 64
	// contactTimeout is the time without a message of any peer after which a node considers itself
	// isolated: each is pinged several times a second.
	contactTimeout = time.Second
	// tokenRequestBytes bounds the reports of workspaces in one datagram, usageBytes is the size of
	// one of them without its name.
	tokenRequestBytes = 1100
	usageBytes        = 65
	// earlyReportTime is how early a workspace may be reported along with another one.
	earlyReportTime = 500 * time.Millisecond
	// maxCombinedWorkspaces is the number of workspaces up to which a node searches them for others
	// to report with each token request.
	maxCombinedWorkspaces = 300
	// allocatorPruneInterval is how often allocators drop unused state.
	allocatorPruneInterval = 10 * time.Second
)

// limitController enforces the limits of workspaces jointly with the other nodes. It may be used
// concurrently.
type limitController struct {
	board     *Board
	messenger *messenger
	limiter   *ratelimit.Limiter
	// equalShares gives each node an equal share of a limit, where nodes exchange no datagrams.
	equalShares *admission.Limiter
	// seeds is the number of other nodes in the settings.
	seeds       int
	incarnation uint64
	log         *logrus.Entry
	// lastReceived is when the last message of a peer arrived, as the time since started.
	started      time.Time
	lastReceived atomic.Int64
	// paused counts the requests that wait for this node to reach others.
	paused atomic.Int32

	mu        sync.Mutex
	allocator *ratelimit.Allocator
	// tokenAnswers are the recent answers to token requests: one that is resent must not take
	// tokens twice.
	tokenAnswers map[tokenRequestKey]*tokenAnswer
	// unresponsiveUntil is until when an allocator receives no requests.
	unresponsiveUntil map[string]time.Time
	// nodeIncarnations are the newest incarnations of nodes, allocatorIncarnations those that they
	// gave as allocators.
	nodeIncarnations      map[string]uint64
	allocatorIncarnations map[string]uint64
}

// tokenRequestKey identifies a token request.
type tokenRequestKey struct {
	node string
	call uint64
}

type tokenAnswer struct {
	at    time.Time
	allot *wire.Allot
}

func newLimitController(board *Board, started time.Time, incarnation uint64, t ratelimit.Tolerance, log *logrus.Entry) *limitController {
	return &limitController{
		board:             board,
		limiter:           ratelimit.NewLimiter(started),
		equalShares:       admission.NewLimiter(),
		incarnation:       incarnation,
		started:           started,
		log:               log,
		allocator:         ratelimit.NewAllocator(incarnation, started, t),
		tokenAnswers:      map[tokenRequestKey]*tokenAnswer{},
		unresponsiveUntil: map[string]time.Time{},
		nodeIncarnations:  map[string]uint64{},

		allocatorIncarnations: map[string]uint64{},
	}
}

// limitOf returns the limit of a workspace, and false if it has none.
func limitOf(w *fleetconfig.Workspace) (ratelimit.Limit, bool) {
	return ratelimit.Limit{
		Rate:  w.Rate(),
		Burst: w.Burst(),
	}, w.Rate() > 0
}

// admit admits a request of a workspace, waiting for other nodes up to maxWait while this node
// starts. It returns nil if the request may proceed, which must be given back if it has not run.
func (l *limitController) admit(ctx context.Context, w *fleetconfig.Workspace, maxWait time.Duration) *entry.LimitError {
	limit, limited := limitOf(w)
	if !limited {
		return nil
	}
	if l.messenger == nil {
		// A node that has just started has few others in its view.
		nodes := max(l.board.nodes(), l.seeds+1)
		if wait := l.equalShares.Admit(time.Now(), w.ID(), limit.Rate, limit.Burst, nodes); wait > 0 {
			return l.limitError(w, limit, wait, byEqualShares)
		}
		return nil
	}
	decision, wait := l.limiter.Take(time.Now(), w.ID(), limit)
	by := byCachedAnswer
	if decision == ratelimit.NeedsAllocator {
		decision, wait, by = l.requestToken(ctx, w.ID(), limit, time.Now().Add(maxWait))
	}
	if decision == ratelimit.Admitted {
		return nil
	}
	return l.limitError(w, limit, wait, by)
}

// Who refused a request beyond a limit.
const (
	byAllocator    = "allocator"
	byCachedAnswer = "last word of the allocator"
	byIsolatedNode = "this node alone"
	byEqualShares  = "equal parts"
)

func (l *limitController) limitError(w *fleetconfig.Workspace, limit ratelimit.Limit, wait time.Duration, by string) *entry.LimitError {
	share, at := l.limiter.LastShare(w.ID())
	e := &entry.LimitError{
		Wait:       wait,
		By:         by,
		Rate:       limit.Rate,
		TokensLeft: share.Level,
		Withheld:   share.Withheld,
	}
	if !at.IsZero() {
		e.Age = time.Since(at)
	}
	return e
}

// giveBack returns the token of a request that has not run.
func (l *limitController) giveBack(w *fleetconfig.Workspace) {
	if _, limited := limitOf(w); limited && l.messenger != nil {
		l.limiter.Return(w.ID())
	}
}

// requestToken requests a token from the allocator, and decides on this node if that does not
// answer; while this node starts it retries until the given time. by names who decided.
func (l *limitController) requestToken(ctx context.Context, workspace string, limit ratelimit.Limit, until time.Time) (decision ratelimit.Decision, wait time.Duration, by string) {
	for {
		holder := l.holder(workspace)
		admitted, answered := l.requestTokens(ctx, holder, l.combinable(workspace, holder), 1)
		now := time.Now()
		switch {
		case admitted > 0:
			return ratelimit.Admitted, 0, byAllocator
		case answered:
			return ratelimit.Refused, l.limiter.Refuse(now, workspace), byAllocator
		case l.limiter.Joining(now, workspace) && now.Before(until) && l.pause(ctx):
		default:
			decision, wait = l.limiter.DecideIsolated(now, workspace, limit, l.board.nodes())
			return decision, wait, byIsolatedNode
		}
	}
}

// pause waits until a node that starts should retry. It returns false if that is of no use: the
// caller has gone, or maxPaused requests wait already.
func (l *limitController) pause(ctx context.Context) bool {
	defer l.paused.Add(-1)
	if l.paused.Add(1) > maxPaused {
		return false
	}
	timer := time.NewTimer(startRetryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
