// SPDX-License-Identifier: Apache-2.0

package dissemination

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/order"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Intervals and fan-outs.
const (
	// Interval is the mean time between comparisons with a random peer.
	Interval = time.Second
	// fanout is the number of peers to which a node pushes a new value. With 4, a
	// value reaches 1,000 nodes in about 6 rounds and misses about 1 in 50, which
	// the comparisons find.
	fanout = 4
	// sampleSize is the number of nodes that a reply names.
	sampleSize = 4
	// maxRounds is the greatest number of messages of one exchange.
	maxRounds = 16
	// recentCalls is the number of calls by which this node detects that it is cut off.
	recentCalls = 8
	// compareTries is the greatest number of peers tried for one comparison, each after
	// compareMaxWait without an answer of the ones before.
	compareTries   = 3
	compareMaxWait = 300 * time.Millisecond
	// maxExchanges is the number of concurrent exchanges above which no comparison starts.
	maxExchanges = 32
	// minDifferInterval is the least time between comparisons caused by a digest: while
	// a value spreads, digests differ everywhere.
	minDifferInterval = 150 * time.Millisecond
	// fanoutFar is the number of peers in each other data hall to which the node that
	// read a value pushes it. Traffic between data halls is expensive, and each data
	// hall needs to receive a value only once.
	fanoutFar = 2
	// startCompares is the number of different peers that a node compares with before
	// it chooses by data hall: as many as it needs to become ready.
	startCompares = 3
	// ownHallTenths is the share of comparisons within the data hall, in tenths.
	ownHallTenths = 6
	// recentRetention is how long a value is sent to peers that don't answer comparisons: in
	// that time some twenty nodes compare with each peer. maxRecent limits such values.
	recentRetention = 20 * time.Second
	maxRecent       = 32
	// maxPushedBytes is the greatest size of small values that are pushed; more are only
	// announced, and peers pull them.
	maxPushedBytes = 4 << 10
	// farMaxWait is the time without progress after which a node pulls from any peer that is
	// ahead of it, not only from those of its data hall.
	farMaxWait = time.Second
	// pullMaxWait is the time without an answer to a pull after which another may begin.
	pullMaxWait = 500 * time.Millisecond
	// pullRetryWait is the same for the further peers of a comparison. It is less than
	// compareMaxWait, so that a peer that doesn't answer holds back none of them.
	pullRetryWait = compareMaxWait * 5 / 6
	// maxSampleSize is the number of nodes that a reply names to a peer with few.
	maxSampleSize = 40
)

// Config holds the dependencies of a Gossip. All functions may be called concurrently.
type Config struct {
	// Self describes this node in each message.
	Self func() *wire.Node
	// View returns the known nodes.
	View func() *membership.View
	// PreferOwnHall is set if datagrams report differences at once: values and comparisons
	// then stay mostly in the data hall. Without datagrams all peers are chosen
	// alike, because only comparisons find what a network partition held back.
	PreferOwnHall bool
	// Seeds returns peers to contact when no others are known.
	Seeds func() []string
	// Announce sends a peer, without an answer, this node's digest and ReadTo, which the peer
	// passes to ObserveDigestMismatch if its digest differs; nil sends nothing.
	Announce func(peer string)
	// Call sends a request to a peer.
	Call func(ctx context.Context, peer string, in *wire.SyncRequest) (*wire.SyncReply, error)
	// Received is called with each node that sent a message, Discovered with each that a
	// peer names, Failed with each peer that didn't answer.
	Received   func(*wire.Node)
	Discovered func(*wire.Node)
	Failed     func(peer string)
	// Suspended returns how long this machine was suspended since the node started; nil
	// means never.
	Suspended func(now time.Time) time.Duration
}

// Gossip spreads the values of a replica. It may be used concurrently.
type Gossip struct {
	cfg       Config
	replica   *Replica
	fresh     chan update
	startedAt time.Time
	// lastContact is when any node last received an answer of the platform, as uptime; 0 if
	// no contact was reported to this node.
	lastContact atomic.Int64
	// lastAgreement is when a peer last had the same values, as uptime.
	lastAgreement atomic.Int64
	differs       chan string
	// compareSoon holds a value if a comparison is requested.
	compareSoon  chan struct{}
	mu           sync.Mutex
	comparedWith map[string]bool
	// recentValues are the latest small values, the oldest first.
	recentValues []recentValue
	batches      batchCache
	// positions is set once a peer has reported the position up to which it is complete.
	positions atomic.Bool
	// pulling is when the current pull last progressed, the zero time if there is none.
	pulling time.Time
	// lastProgress is when this node last received new values or agreed with a peer, as uptime.
	lastProgress  atomic.Int64
	recentResults [recentCalls]bool
	calls         int
}

// New returns a Gossip that spreads the values of a replica.
func New(cfg Config, replica *Replica) *Gossip {
	if cfg.Suspended == nil {
		cfg.Suspended = func(time.Time) time.Duration { return 0 }
	}
	return &Gossip{
		cfg:          cfg,
		replica:      replica,
		fresh:        make(chan update, 128),
		comparedWith: map[string]bool{},
		startedAt:    time.Now(),
		differs:      make(chan string, 1),
		compareSoon:  make(chan struct{}, 1),
	}
}

// ObserveDigestMismatch records that a peer has another digest; readTo is the position up to which
// the peer is complete. The nodes compare unless a comparison has just begun, the peer is behind, or
// comparing is left to peers of the own data hall.
func (g *Gossip) ObserveDigestMismatch(peer string, readTo *wire.Position) {
	behind := g.pullsByPosition() && readTo != nil && g.replica.ReadTo().Compare(fleetconfig.PositionOf(readTo)) > 0
	if !behind && g.pullsFrom(peer) {
		g.queueCompare(peer)
	}
}

func (g *Gossip) queueCompare(peer string) {
	select {
	case g.differs <- peer:
	default:
	}
}

// CompareSoon requests a comparison with peers, unless one has just begun.
func (g *Gossip) CompareSoon() {
	select {
	case g.compareSoon <- struct{}{}:
	default:
	}
}

// Compared returns the number of different peers with which this node has finished
// a comparison of all values.
func (g *Gossip) Compared() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.comparedWith)
}

// CutOff reports whether most of the recent calls to peers failed. It is false
// before the first recentCalls calls.
func (g *Gossip) CutOff() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.calls < recentCalls {
		return false
	}
	answered := 0
	for _, ok := range g.recentResults {
		if ok {
			answered++
		}
	}
	return answered*2 < recentCalls
}

// Calls returns the number of calls made to peers.
func (g *Gossip) Calls() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls
}

func (g *Gossip) recordCall(ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recentResults[g.calls%recentCalls] = ok
	g.calls++
}

// recordCompared records a finished comparison: only then is this node as up to date as
// the peer.
func (g *Gossip) recordCompared(peer string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.comparedWith[peer] = true
	g.RecordAgreement(time.Now())
}

// Publish offers values that this node has read itself.
func (g *Gossip) Publish(entries []*wire.Entry) { g.PublishTo(entries, order.Position{}) }

// PublishTo offers values that this node has read and with which it is complete up to a position
// of the source.
func (g *Gossip) PublishTo(entries []*wire.Entry, upTo order.Position) {
	fresh := g.replica.Offer(entries)
	if g.replica.AdvanceReadTo(upTo) {
		g.recordProgress(time.Now())
	}
	g.enqueue(update{
		entries: fresh,
		ownRead: true,
	})
}

// update holds values that are new to this node; ownRead is set if it read them
// itself, pulled if it pulled them from a peer.
type update struct {
	entries []*wire.Entry
	ownRead bool
	pulled  bool
}

// enqueue passes new values to Run. If the queue is full they are left to the
// comparisons.
func (g *Gossip) enqueue(u update) {
	if len(u.entries) == 0 {
		return
	}
	g.recordRecent(u.entries)
	select {
	case g.fresh <- u:
	default:
	}
}

// Run pushes new values and compares at each tick until the context ends. Exchanges
// are concurrent: a peer that hangs must not delay the others.
func (g *Gossip) Run(ctx context.Context) error {
	var exchanges task.Group
	next := time.NewTimer(0)
	defer next.Stop()
	var asked time.Time
	for {
		select {
		case <-ctx.Done():
			return exchanges.Wait()
		case u := <-g.fresh:
			g.push(ctx, &exchanges, u)
		case peer := <-g.differs:
			if time.Since(asked) >= minDifferInterval {
				asked = time.Now()
				g.compare(ctx, &exchanges, []string{peer})
			}
		case <-g.compareSoon:
			if time.Since(asked) >= minDifferInterval {
				asked = time.Now()
				g.compare(ctx, &exchanges, g.choosePeers(compareTries))
			}
		case <-next.C:
			g.compare(ctx, &exchanges, g.choosePeers(compareTries))
			next.Reset(Interval/2 + rand.N(Interval))
		}
		if err := exchanges.Reap(); err != nil {
			return err
		}
	}
}

// Sync answers the message of a peer.
func (g *Gossip) Sync(_ context.Context, in *wire.SyncRequest) (*wire.SyncReply, error) {
	g.cfg.Received(in.GetFrom())
	g.ObservePlatformAgeMillis(time.Now(), in.GetPlatformAgeMs())
	g.observeReadTo(in.GetReadTo())
	g.enqueue(update{
		entries: g.replica.Offer(in.GetEntries()),
	})
	// Read before the digest: the reported position must not be newer than the digest.
	readTo := g.ReadTo()
	buckets, revisions := g.replica.differing(in.GetBuckets())
	lacks, wanted := g.replica.Compare(time.Now(), in.GetRevisions(), in.GetComplete())
	if in.GetDigest() != g.replica.Digest() && fleetconfig.PositionOf(in.GetReadTo()).Compare(fleetconfig.PositionOf(readTo)) > 0 {
		g.queueCompare(in.GetFrom().GetAddress())
	}
	out := &wire.SyncReply{
		From:          g.cfg.Self(),
		Digest:        g.replica.Digest(),
		Entries:       lacks,
		Wanted:        wanted,
		PlatformAgeMs: uint64(g.PlatformAge(time.Now()).Milliseconds()),
		Nodes:         g.sampleNodes(int(in.GetKnown())),
		Differing:     buckets,
		Revisions:     revisions,
		ReadTo:        readTo,
	}
	if !in.GetPull() {
		return out, nil
	}
	return out, g.answerPull(in, out)
}
