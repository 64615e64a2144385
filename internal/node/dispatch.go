// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/task"
)

// Times and counts of the joint choice of targets.
const (
	// resendInterval is the time between two sends of a grant request: datagrams can be lost, and
	// an answer takes a few milliseconds.
	resendInterval = 25 * time.Millisecond
	// answerTimeout is the time without an answer after which another dispatcher is tried.
	answerTimeout = 70 * time.Millisecond
	// queuedInterval is the time between two sends of a queued request, queuedTimeout the time
	// without an answer after which its dispatcher is considered lost.
	queuedInterval = 100 * time.Millisecond
	queuedTimeout  = 350 * time.Millisecond
	// dispatcherBackoff is how long a dispatcher that did not answer receives no grant requests.
	dispatcherBackoff = time.Second
	// reportInterval is the time between two log lines about a scheduler, reportMinRequests the
	// number of requests within the window of the retry budget from which on they are written, and
	// reportMinProbability the failure probability from which on they name a target.
	reportInterval       = time.Second
	reportMinRequests    = 10
	reportMinProbability = 0.1
	// unreachableTime is how long a node avoids a target to which it could not connect: paths
	// between two machines recover within some seconds.
	unreachableTime = 4 * time.Second
	// maxTried bounds the targets that a grant request names, with keys of about 20 bytes.
	maxTried = 24
	// maxUnavailableGrants is how many grant requests are made for an attempt while the granted
	// targets are unavailable; each names the targets found unavailable by then.
	maxUnavailableGrants = 3
	// dispatchers is how many nodes are tried in turn before the fallback.
	dispatchers = 2
	// serveInterval is the time between two passes over the queues of the schedulers.
	serveInterval = 50 * time.Millisecond
	// idleServeInterval is the same while there is nothing to do.
	idleServeInterval = time.Second
	// doneTries is how often the end of an attempt is sent, every doneInterval, until it is
	// confirmed.
	doneTries    = 4
	doneInterval = 60 * time.Millisecond
)

// byThisNode names a choice that a node made without a dispatcher.
const byThisNode = "alone"

// dispatchController chooses targets jointly with other nodes and fulfils this node's role as a
// dispatcher. It may be used concurrently.
type dispatchController struct {
	board     *Board
	messenger *messenger
	budget    dispatch.Budget
	// started is when the node began to record grants.
	started time.Time
	// seeds is the number of other nodes in the settings.
	seeds int
	// floor is the share of the working targets of each service that should have work.
	floor float64
	// partitionSlots is the number of slots in each data hall from which on a service is partitioned;
	// 0 leaves that to the number of targets.
	partitionSlots int
	// handover sends state to the next dispatchers.
	handover handoverSender
	log      *logrus.Entry
	// setCoverageShort receives the probability that too few working targets of a partition had
	// work recently.
	setCoverageShort func(p partition, short float64)
	// setLimitedTargets receives the number of targets of a partition that have a limit.
	setLimitedTargets func(p partition, targets int)
	// countHandover receives what became of a handover: sent, failed, accepted, ignored.
	countHandover func(outcome string)

	mu         sync.Mutex
	schedulers map[partition]*scheduler
	// partitionings holds the data halls by which the services in force are divided.
	partitionings partitionings
	// fullUntil is until when a partition is assumed to have no free target.
	fullUntil map[partition]time.Time
	// unresponsiveUntil is until when a dispatcher receives no grant requests.
	unresponsiveUntil map[string]time.Time
	// unreachableUntil is until when a target is considered unreachable from this node.
	unreachableUntil map[string]time.Time
	// ledgers hold what each dispatcher of a partition granted to this node.
	ledgers map[partition]*dispatch.Ledger
	// refused counts the requests of each service that were refused since the last grant request.
	refused map[string]int
	// wake holds a value if there is something to do.
	wake chan struct{}
	// statusLoggedAt is when the schedulers were last logged; only run uses it.
	statusLoggedAt time.Time
	// pending are the ends of attempts that were not confirmed.
	pending map[uint64]*unconfirmedDone
}

// scheduler is the state of one partition on this node.
type scheduler struct {
	*dispatch.Scheduler
	config *fleetconfig.Service
	// lastUsed is when the scheduler last received a request or a result.
	lastUsed time.Time
	// statusLogged is set while the scheduler has enough requests for log lines.
	statusLogged bool
	// handedTo are the successors that have the state of this scheduler.
	handedTo map[string]bool
}

func newDispatchController(board *Board, m *messenger, b dispatch.Budget, log *logrus.Entry) *dispatchController {
	d := &dispatchController{
		board:             board,
		messenger:         m,
		budget:            b,
		started:           time.Now(),
		log:               log,
		setCoverageShort:  func(partition, float64) {},
		setLimitedTargets: func(partition, int) {},
		countHandover:     func(string) {},
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

// run serves the queues and resends what was not confirmed, until the context ends. While there is
// nothing to do it wakes once a second only.
func (d *dispatchController) run(ctx context.Context) error {
	tick := time.NewTimer(serveInterval)
	defer tick.Stop()
	busy := true
	var handovers task.Group
	for {
		select {
		case <-ctx.Done():
			return handovers.Wait()
		case <-d.wake:
			if !busy {
				busy = true
				tick.Reset(serveInterval)
			}
		case now := <-tick.C:
			d.advance(now)
			d.resendDone(now)
			d.handOver(ctx, &handovers, now)
			if err := handovers.Reap(); err != nil {
				return err
			}
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

// busy reports whether anything is queued, in flight or not confirmed.
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

// countRefused counts a request for a service that was refused before a target was requested.
func (d *dispatchController) countRefused(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refused[service]++
}

// takeRefused returns the number of such requests since the last call.
func (d *dispatchController) takeRefused(service string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.refused[service]
	delete(d.refused, service)
	return n
}

// notify wakes run.
func (d *dispatchController) notify() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
