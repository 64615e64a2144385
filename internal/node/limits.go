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

// Times and counts of limits.
const (
	// allocatorRoles is over how many allocators the workspaces of a fleet of more than
	// limitWhole nodes are spread: at a thousand nodes each has some thousand asks a second.
	// In a smaller fleet one has them all, so that a node tells it of several in one
	// datagram.
	allocatorRoles       = 32
	singleAllocatorNodes = 256
	// reportCheckInterval is how often a node looks which workspaces it should report.
	reportCheckInterval = 200 * time.Millisecond
	// tokenResendInterval is after how long an ask is sent again, drawGiveUp after how long without an
	// answer the node decides alone. A way between data halls takes a few milliseconds.
	tokenResendInterval = 25 * time.Millisecond
	tokenTimeout        = 70 * time.Millisecond
	// allocatorBackoff is how long an allocator that did not answer isn't asked.
	allocatorBackoff = 500 * time.Millisecond
	// startRetryInterval is after how long a request on a node that starts asks again, maxPausing how
	// many of its requests wait for that at a time: more is more than a node's part of any
	// usual load in half a second.
	startRetryInterval = 50 * time.Millisecond
	maxPaused          = 64
	// contactTimeout is how long after the last message of any peer a node counts as cut off:
	// each is pinged several times a second.
	contactTimeout = time.Second
	// tokenRequestBytes bounds what one datagram tells of workspaces, usageBytes is what it takes for
	// one of them beside its name.
	tokenRequestBytes = 1100
	usageBytes        = 65
	// earlyReportTime is how long before its time a workspace is reported beside another one.
	earlyReportTime = 500 * time.Millisecond
	// maxCombinedWorkspaces is up to how many workspaces a node looks through them with each ask.
	maxCombinedWorkspaces = 300
	// allocatorPruneInterval is how often allocators forget what is out of use.
	allocatorPruneInterval = 10 * time.Second
)

// limitController keeps the limits of workspaces together with the other nodes. It may be used
// concurrently.
type limitController struct {
	board     *Board
	messenger *messenger
	limiter   *ratelimit.Limiter
	// equal gives each node the same part of a limit, where nodes exchange no datagrams.
	equal *admission.Limiter
	// seeds is how many other nodes the settings name.
	seeds       int
	incarnation uint64
	log         *logrus.Entry
	// heard is when a peer was last heard, as the time since begun.
	started      time.Time
	lastReceived atomic.Int64
	// paused counts the requests that wait for this node to meet others.
	paused atomic.Int32

	mu        sync.Mutex
	allocator *ratelimit.Allocator
	// tokenAnswers are the answers to draws lately: one that is repeated must not take tokens
	// twice.
	tokenAnswers map[tokenRequestKey]*tokenAnswer
	// unresponsiveUntil is until when an allocator isn't asked.
	unresponsiveUntil map[string]time.Time
	// nodeIncarnations are the newest incarnations of nodes, allocators the lives that these gave as
	// allocators.
	nodeIncarnations      map[string]uint64
	allocatorIncarnations map[string]uint64
}

// tokenRequestKey names a draw.
type tokenRequestKey struct {
	node string
	call uint64
}

type tokenAnswer struct {
	at    time.Time
	allot *wire.Allot
}

func newLimitController(board *Board, begun time.Time, life uint64, t ratelimit.Tolerance, log *logrus.Entry) *limitController {
	return &limitController{
		board:             board,
		limiter:           ratelimit.NewLimiter(begun),
		equal:             admission.NewLimiter(),
		incarnation:       life,
		started:           begun,
		log:               log,
		allocator:         ratelimit.NewAllocator(life, begun, t),
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

// admit takes a request of a workspace, which waits for the others up to patience while
// this node meets them. It returns nil if the request may go on, which must be given back
// if it has not run.
func (l *limitController) admit(ctx context.Context, w *fleetconfig.Workspace, maxWait time.Duration) *entry.LimitError {
	limit, limited := limitOf(w)
	if !limited {
		return nil
	}
	if l.messenger == nil {
		// A node that has just begun knows few others.
		nodes := max(l.board.nodes(), l.seeds+1)
		if wait := l.equal.Admit(time.Now(), w.ID(), limit.Rate, limit.Burst, nodes); wait > 0 {
			return l.limitError(w, limit, wait, byEqualShares)
		}
		return nil
	}
	v, wait := l.limiter.Take(time.Now(), w.ID(), limit)
	by := byCachedAnswer
	if v == ratelimit.Ask {
		v, wait, by = l.requestToken(ctx, w.ID(), limit, time.Now().Add(maxWait))
	}
	if v == ratelimit.Admitted {
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
	told, at := l.limiter.Told(w.ID())
	e := &entry.LimitError{
		Wait:  wait,
		By:    by,
		Rate:  limit.Rate,
		Level: told.Level,
		Kept:  told.Kept,
	}
	if !at.IsZero() {
		e.Age = time.Since(at)
	}
	return e
}

// giveBack returns what a request took that has not run.
func (l *limitController) giveBack(w *fleetconfig.Workspace) {
	if _, limited := limitOf(w); limited && l.messenger != nil {
		l.limiter.GiveBack(w.ID())
	}
}

// requestToken asks the allocator for a token, and decides alone if it doesn't answer; while this
// node meets the others it asks until a time. by says who decided.
func (l *limitController) requestToken(ctx context.Context, workspace string, limit ratelimit.Limit, until time.Time) (v ratelimit.Verdict, wait time.Duration, by string) {
	for {
		holder := l.holder(workspace)
		admitted, answered := l.requestTokens(ctx, holder, l.combinable(workspace, holder), 1)
		now := time.Now()
		switch {
		case admitted > 0:
			return ratelimit.Admitted, 0, byAllocator
		case answered:
			return ratelimit.Refused, l.limiter.Refuse(now, workspace), byAllocator
		case l.limiter.Meeting(now, workspace) && now.Before(until) && l.pause(ctx):
		default:
			v, wait = l.limiter.Alone(now, workspace, limit, l.board.nodes())
			return v, wait, byIsolatedNode
		}
	}
}

// pause waits until a node that starts should ask again. It returns false if that is no
// use: the caller has left, or as many requests wait as may.
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
