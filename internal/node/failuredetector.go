// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/task"
)

// Times and counts of pings between nodes. A node that dies is pinged by another node of its data
// hall within a tick or two, and is declared dead everywhere after pingTimeout,
// indirectPingTimeout, the time to refute and the time to spread the update: in less than 1.5 s,
// mostly in less than 1 s.
const (
	pingInterval = 200 * time.Millisecond
	// pingTimeout is about ten round trips inside a region.
	pingTimeout = 100 * time.Millisecond
	// indirectPingTimeout is the same for two round trips.
	indirectPingTimeout = 150 * time.Millisecond
	// helpers is how many nodes ping on behalf of one that received no answer.
	helpers = 2
	// farPingRatio is the ratio of all pings to those sent to another data hall.
	farPingRatio = 4
	// deadPingRatio is the ratio of all pings to those sent to a node that was declared dead.
	deadPingRatio = 8
	// lateTickTolerance is how late a tick may be before this node ignores missing answers: it was
	// slow itself then, not its peers (Dadgar, Phillips and Currey, "Lifeguard", DSN 2018).
	lateTickTolerance = 60 * time.Millisecond
	// suspectSelfAfter is the number of consecutive pings to different peers without an answer
	// after which a node suspects its own link.
	suspectSelfAfter = 3
)

// failureDetector finds nodes that died.
type failureDetector struct {
	messenger *messenger
	members   *members
	board     *Board
	seeds     func() []string
	log       *logrus.Entry
	// elapsed returns the time since a fixed moment, including time for which the machine was
	// suspended: otherwise a node that is suspended during a ping would take its peer for failed.
	elapsed func(now time.Time) time.Duration
	// unanswered counts the consecutive pings that failed directly and indirectly.
	unanswered int
	failed     chan string
	answered   chan struct{}
}

// run pings a peer at each tick until the context ends.
func (fd *failureDetector) run(ctx context.Context) error {
	fd.failed = make(chan string, 8)
	fd.answered = make(chan struct{}, 8)
	var pings task.Group
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	last := fd.elapsed(time.Now())
	for {
		select {
		case <-ctx.Done():
			return pings.Wait()
		case <-fd.answered:
			fd.unanswered = 0
		case peer := <-fd.failed:
			fd.recordFailure(peer)
		case <-tick.C:
			now := fd.elapsed(time.Now())
			fd.tick(ctx, &pings, time.Now(), now-last > pingInterval+lateTickTolerance)
			last = now
		}
	}
}

func (fd *failureDetector) tick(ctx context.Context, pings *task.Group, now time.Time, late bool) {
	if late {
		// The missing answers were caused by a pause of this node, not by its peers.
		fd.unanswered = 0
		for len(fd.failed) > 0 {
			<-fd.failed
		}
		fd.members.clearSuspicions()
	}
	for _, n := range fd.members.advance(now) {
		fd.log.WithField("peer", n.Address()).WithField("data_hall", n.DataHall()).Warn("node taken for dead")
	}
	if err := pings.Reap(); err != nil {
		fd.log.WithError(err).Debug("ping ended")
	}
	peer := fd.nextPeer()
	if peer == "" {
		return
	}
	pings.Go(ctx, "ping", func(ctx context.Context) error {
		fd.pingPeer(ctx, peer)
		return nil
	})
}

// pingPeer pings a peer, and has other nodes ping it if it does not answer.
func (fd *failureDetector) pingPeer(ctx context.Context, peer string) {
	started := fd.elapsed(time.Now())
	if fd.messenger.ping(ctx, peer, pingTimeout) {
		fd.answered <- struct{}{}
		return
	}
	if fd.elapsed(time.Now())-started > pingTimeout+lateTickTolerance {
		// This node was suspended or slow itself.
		return
	}
	if fd.messenger.pingVia(ctx, fd.helpers(peer), peer, indirectPingTimeout) {
		fd.answered <- struct{}{}
		return
	}
	if ctx.Err() == nil && fd.elapsed(time.Now())-started <= pingTimeout+indirectPingTimeout+2*lateTickTolerance {
		fd.failed <- peer
	}
}

func (fd *failureDetector) recordFailure(peer string) {
	fd.unanswered++
	if fd.unanswered >= suspectSelfAfter {
		// The cause is more likely this node's link than all of these peers.
		return
	}
	fd.members.suspect(peer)
}

// helpers returns random live nodes other than peer.
func (fd *failureDetector) helpers(peer string) []string {
	live := fd.board.view.Load().Live()
	var out []string
	for range 3 * helpers {
		n := live[rand.IntN(len(live))]
		if n != fd.board.view.Load().Self() && n.Address() != peer && len(out) < helpers {
			out = append(out, n.Address())
		}
	}
	return out
}

// nextPeer returns the peer to ping, mostly one of the same data hall.
func (fd *failureDetector) nextPeer() string {
	view := fd.board.view.Load()
	if dead := fd.members.declaredDead(); len(dead) > 0 && rand.IntN(deadPingRatio) == 0 {
		return dead[rand.IntN(len(dead))].Address()
	}
	near, far := view.Halls()
	if len(near)+len(far) == 0 {
		return fd.randomSeed(view.Self().Address())
	}
	if len(near) == 0 || len(far) > 0 && rand.IntN(farPingRatio) == 0 {
		near = far
	}
	return near[rand.IntN(len(near))].Address()
}

func (fd *failureDetector) randomSeed(self string) string {
	seeds := fd.seeds()
	if len(seeds) == 0 {
		return ""
	}
	if s := seeds[rand.IntN(len(seeds))]; s != self {
		return s
	}
	return ""
}
