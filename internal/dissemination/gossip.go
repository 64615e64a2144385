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
	// Interval is the time between two comparisons with a random peer.
	Interval = time.Second
	// fanout is how many peers learn of a new value from one node. With 4, a
	// rumor reaches 1,000 nodes in about 6 rounds and misses about 1 in 50; the
	// comparisons find those.
	fanout = 4
	// sampleSize is how many known nodes a reply names.
	sampleSize = 4
	// maxRounds bounds the messages of one comparison.
	maxRounds = 16
	// recentCalls is how many calls show whether this node is cut off.
	recentCalls = 8
	// compareTries is how many peers one comparison asks at most, each after
	// comparePatience without an answer of the one before.
	compareTries   = 3
	compareMaxWait = 300 * time.Millisecond
	// maxExchanges bounds the conversations under way.
	maxExchanges = 32
	// minDifferInterval is the least time between two comparisons because of a digest:
	// while a value spreads digests differ everywhere.
	minDifferInterval = 150 * time.Millisecond
	// fanoutFar is how many peers of other data halls learn of a new value from
	// the node that read it. Bytes between data halls are dear; each data hall
	// needs to hear of a value once.
	fanoutFar = 2
	// startCompares is how many different peers a node compares with before it
	// prefers those of its data hall: as many as it needs to become ready.
	startCompares = 3
	// ownHallTenths is how many of ten comparisons stay in the data hall.
	ownHallTenths = 6
	// recentRetention is how long a value is sent to peers that don't answer comparisons: in
	// that time some twenty nodes compare with each peer. lateMost bounds such values.
	recentRetention = 20 * time.Second
	maxRecent       = 32
	// maxPushedBytes is up to how many bytes of small values are pushed unasked; of more only the
	// news is, and peers pull them.
	maxPushedBytes = 4 << 10
	// farMaxWait is after how long without progress a node pulls from any peer that is ahead of
	// it, and not only from those of its data hall.
	farMaxWait = time.Second
	// pullMaxWait is how long a pull may go without an answer until another one may begin.
	pullMaxWait = 500 * time.Millisecond
	// maxSampleSize is how many nodes a reply names to a node that knows few.
	maxSampleSize = 40
)

// Config holds the seams of a Gossip. All functions may be called concurrently.
type Config struct {
	// Self describes this node in each message.
	Self func() *wire.Node
	// View returns the known nodes.
	View func() *membership.View
	// Near is set where datagrams tell of differences at once: values and
	// comparisons then stay mostly in the data hall. Without them all peers are
	// chosen alike, for a comparison is all that finds what a cut held back.
	Near bool
	// Seeds returns peers to ask when no others are known.
	Seeds func() []string
	// Announce tells a peer, without an answer, what Differs is called with there; nil sends
	// nothing.
	Announce func(peer string)
	// Call sends a request to a peer.
	Call func(ctx context.Context, peer string, in *wire.SyncRequest) (*wire.SyncReply, error)
	// Heard notes a node that sent a message, Mentioned one that a peer knows,
	// Failed a peer that didn't answer.
	Heard     func(*wire.Node)
	Mentioned func(*wire.Node)
	Failed    func(peer string)
	// Suspended returns for how long this machine was suspended since the node began; nil
	// means never.
	Suspended func(now time.Time) time.Duration
}

// Gossip spreads the values of a replica. It may be used concurrently.
type Gossip struct {
	cfg         Config
	replica     *Replica
	fresh       chan update
	startedAt   time.Time
	lastContact atomic.Int64
	// lastAgreement is when a peer last had the same values, as the time since begun.
	lastAgreement atomic.Int64
	differs       chan string
	// compareSoon holds a value when a request waits for news.
	compareSoon  chan struct{}
	mu           sync.Mutex
	comparedWith map[string]bool
	// recentValues are the small values learned last, the oldest first.
	recentValues []recentValue
	// batches are those packed for peers.
	batches batchCache
	// positions is set once a peer knew up to where it has all that the source told.
	positions atomic.Bool
	// pulling is when the pull that goes on last got an answer, the zero time where none does.
	pulling time.Time
	// lastProgress is when this node last came to hold more, or as much as a peer, as the time
	// since begun.
	lastProgress  atomic.Int64
	recentResults [recentCalls]bool
	calls         int
}

// New returns a gossip about a replica.
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

// Differs notes that a peer has another digest than this node, and what it says of up to where it has
// all values. The two compare unless a comparison began a moment ago, the peer is behind, or that is
// left to peers of the own data hall.
func (g *Gossip) Differs(peer string, readTo *wire.Position) {
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

// Ask has this node compare with peers soon, unless it did so a moment ago.
func (g *Gossip) Ask() {
	select {
	case g.compareSoon <- struct{}{}:
	default:
	}
}

// Compared returns with how many different peers this node has compared all its
// values to the end.
func (g *Gossip) Compared() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.comparedWith)
}

// CutOff reports whether most of the recent calls to peers failed. It is false
// before the first few calls.
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

// Calls returns how many calls to peers were made.
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

// recordCompared notes a conversation that came to its end: only then is this node as
// new as the peer.
func (g *Gossip) recordCompared(peer string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.comparedWith[peer] = true
	g.Agrees(time.Now())
}

// Publish offers values that this node has learned by itself.
func (g *Gossip) Publish(entries []*wire.Entry) { g.PublishTo(entries, order.Position{}) }

// PublishTo offers values that this node has read, with which it has all that the source told up
// to a position.
func (g *Gossip) PublishTo(entries []*wire.Entry, upTo order.Position) {
	fresh := g.replica.Offer(entries)
	if g.replica.NoteRead(upTo) {
		g.recordProgress(time.Now())
	}
	g.enqueue(update{
		entries: fresh,
		ownRead: true,
	})
}

// update are values that are new to this node; first is set if it read them
// itself, pulled if it got them from a peer that it had asked.
type update struct {
	entries []*wire.Entry
	ownRead bool
	pulled  bool
}

// enqueue hands new values to Run. If Run is far behind they are left to the
// comparisons.
func (g *Gossip) enqueue(l update) {
	if len(l.entries) == 0 {
		return
	}
	g.recordRecent(l.entries)
	select {
	case g.fresh <- l:
	default:
	}
}

// Run pushes new values and compares at each tick until the context ends. No
// conversation waits for another: a peer that hangs must not delay the rest.
func (g *Gossip) Run(ctx context.Context) error {
	var exchanges task.Group
	next := time.NewTimer(0)
	defer next.Stop()
	var asked time.Time
	for {
		select {
		case <-ctx.Done():
			return exchanges.Wait()
		case l := <-g.fresh:
			g.push(ctx, &exchanges, l)
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
	g.cfg.Heard(in.GetFrom())
	g.observeAgeMillis(in.GetPlatformAgeMs())
	g.observeReadTo(in.GetReadTo())
	g.enqueue(update{
		entries: g.replica.Offer(in.GetEntries()),
	})
	// Read before the digest: what is said of up to where this node has all must not be newer.
	readTo := g.ReadTo()
	parts, revisions := g.replica.differing(in.GetBuckets())
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
		Differing:     parts,
		Revisions:     revisions,
		ReadTo:        readTo,
	}
	if !in.GetPull() {
		return out, nil
	}
	return out, g.answerPull(in, out)
}
