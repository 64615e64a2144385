// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
)

// Times and counts of the joint choice.
const (
	// resendInterval is after how long an ask is sent again: datagrams are lost now
	// and then, and an answer takes a few milliseconds.
	resendInterval = 25 * time.Millisecond
	// answerTimeout is after how long without an answer another dispatcher is asked.
	answerTimeout = 70 * time.Millisecond
	// queuedInterval is how often an ask that waits is repeated, queuedSilence after
	// how long without an answer its dispatcher counts as lost.
	queuedInterval = 100 * time.Millisecond
	queuedTimeout  = 350 * time.Millisecond
	// dispatcherBackoff is how long a dispatcher that did not answer isn't asked.
	dispatcherBackoff = time.Second
	// reportInterval is how often a dispatcher writes a line about each of its desks,
	// reportLeast how many asks in the window of the retry budget make that worth
	// it, and reportFailing from which belief on a failing target is named.
	reportInterval       = time.Second
	reportMinRequests    = 10
	reportMinProbability = 0.1
	// unreachableTime is how long a node doesn't use a target to which it could open no
	// connection: paths between two machines come back after some seconds.
	unreachableTime = 4 * time.Second
	// maxTried bounds the targets that an ask names, in keys of 20 bytes or so.
	maxTried = 24
	// maxUnavailableGrants is how often a target is asked for again because the one that was granted
	// wants no request: each ask names the targets of which that is known by then.
	maxUnavailableGrants = 3
	// dispatchers is how many nodes are asked, one after another, before a node
	// chooses alone.
	dispatchers = 2
	// serveInterval is how often the desks look at their queues.
	serveInterval = 50 * time.Millisecond
	// idleServeInterval is the same while there is nothing to do.
	idleServeInterval = time.Second
	// doneTries is how often the end of an attempt is sent, every doneInterval, until
	// it is confirmed.
	doneTries    = 4
	doneInterval = 60 * time.Millisecond
)

// byThisNode names a choice that a node made without a dispatcher.
const byThisNode = "alone"

// dispatchController chooses targets jointly and plays this node's role as a dispatcher.
// It may be used concurrently.
type dispatchController struct {
	board     *Board
	messenger *messenger
	budget    dispatch.Budget
	// seeds is the number of other nodes in the settings.
	seeds int
	// floor is the share of the working targets of each service that should have work.
	floor float64
	log   *logrus.Entry
	// setCoverageShort takes the probability that too few working targets of a part got work
	// lately.
	setCoverageShort func(p partition, short float64)
	// setLimitedTargets takes how many targets of a part have a limit.
	setLimitedTargets func(p partition, targets int)

	mu         sync.Mutex
	schedulers map[partition]*scheduler
	// partitionings are the data halls by which the services in force are divided.
	partitionings partitionings
	// fullUntil is until when no target of a part is taken for free.
	fullUntil map[partition]time.Time
	// unresponsiveUntil is until when a dispatcher isn't asked.
	unresponsiveUntil map[string]time.Time
	// unreachableUntil is until when this node doesn't reach a target.
	unreachableUntil map[string]time.Time
	// ledgers are what this node got from each dispatcher of a part.
	ledgers map[partition]*dispatch.Ledger
	// refused counts the requests of each service that were refused since the last ask.
	refused map[string]int
	// wake holds a value when there is something to do.
	wake chan struct{}
	// statusLoggedAt is when the desks were last written to the log; only run uses it.
	statusLoggedAt time.Time
	// pending are the ends of attempts that were not confirmed.
	pending map[uint64]*unconfirmedDone
}

// scheduler is the state of one part on this node.
type scheduler struct {
	*dispatch.Desk
	config *fleetconfig.Service
	// lastUsed is when the desk was last asked or told of something.
	lastUsed time.Time
	// statusLogged is set while the desk has so much work that lines tell of it.
	statusLogged bool
}

func newDispatchController(board *Board, m *messenger, b dispatch.Budget, log *logrus.Entry) *dispatchController {
	d := &dispatchController{
		board:             board,
		messenger:         m,
		budget:            b,
		log:               log,
		setCoverageShort:  func(partition, float64) {},
		setLimitedTargets: func(partition, int) {},
		schedulers:        map[partition]*scheduler{},
		partitionings:     partitionings{},
		fullUntil:         map[partition]time.Time{},
		wake:              make(chan struct{}, 1),
		unresponsiveUntil: map[string]time.Time{},
		unreachableUntil:  map[string]time.Time{},
		pending:           map[uint64]*unconfirmedDone{},
		ledgers:           map[partition]*dispatch.Ledger{},
		refused:           map[string]int{},
	}
	m.onGrantRequest = d.handleGrantRequest
	m.onDone = d.handleDone
	m.onTaken = d.handleTaken
	return d
}

// run serves the queues and repeats what was not confirmed, until the context ends. While there
// is nothing to do it wakes up once a second only.
func (d *dispatchController) run(ctx context.Context) error {
	tick := time.NewTimer(serveInterval)
	defer tick.Stop()
	busy := true
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wake:
			if !busy {
				busy = true
				tick.Reset(serveInterval)
			}
		case now := <-tick.C:
			d.advance(now)
			d.resendDone(now)
			d.logStatus(now)
			busy = d.busy()
			if busy {
				tick.Reset(serveInterval)
			} else {
				tick.Reset(idleServeInterval)
			}
		}
	}
}

// busy reports whether anything waits, is under way or not confirmed.
func (d *dispatchController) busy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.pending) > 0 {
		return true
	}
	for _, s := range d.schedulers {
		if s.Busy() {
			return true
		}
	}
	return false
}

// countRefused notes that a request for a service was refused before a target was asked for.
func (d *dispatchController) countRefused(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refused[service]++
}

// takeRefused returns how many such requests there were since the last call.
func (d *dispatchController) takeRefused(service string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.refused[service]
	delete(d.refused, service)
	return n
}

// notify makes run look at what there is to do now.
func (d *dispatchController) notify() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
