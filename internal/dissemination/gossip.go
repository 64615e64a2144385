// SPDX-License-Identifier: Apache-2.0

package dissemination

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Beats and fan-outs.
const (
	// Beat is the time between two comparisons with a random peer.
	Beat = time.Second
	// fanout is how many peers learn of a new value from one node. With 4, a
	// rumor reaches 1,000 nodes in about 6 rounds and misses about 1 in 50; the
	// comparisons find those.
	fanout = 4
	// mentions is how many known nodes a reply names.
	mentions = 4
	// maxRounds bounds the messages of one comparison.
	maxRounds = 16
	// recentCalls is how many calls show whether this node is cut off.
	recentCalls = 8
	// compareTries is how many peers one comparison asks at most, each after
	// comparePatience without an answer of the one before.
	compareTries    = 3
	comparePatience = 300 * time.Millisecond
	// maxTalks bounds the conversations under way.
	maxTalks = 32
)

// Config holds the seams of a Gossip. All functions may be called concurrently.
type Config struct {
	// Self describes this node in each message.
	Self func() *wire.Node
	// View returns the known nodes.
	View func() *membership.View
	// Seeds are peers to ask when no others are known.
	Seeds []string
	// Call sends a request to a peer.
	Call func(ctx context.Context, peer string, in *wire.SyncRequest) (*wire.SyncReply, error)
	// Heard notes a node that sent a message, Mentioned one that a peer knows,
	// Failed a peer that didn't answer.
	Heard     func(*wire.Node)
	Mentioned func(*wire.Node)
	Failed    func(peer string)
}

// Gossip spreads the values of a replica. It may be used concurrently.
type Gossip struct {
	cfg      Config
	replica  *Replica
	fresh    chan []*wire.Entry
	platform atomic.Int64
	mu       sync.Mutex
	compares map[string]bool
	recent   [recentCalls]bool
	calls    int
}

// New returns a gossip about a replica.
func New(cfg Config, replica *Replica) *Gossip {
	return &Gossip{
		cfg:      cfg,
		replica:  replica,
		fresh:    make(chan []*wire.Entry, 64),
		compares: map[string]bool{},
	}
}

// PlatformHeard notes that this node has just heard the platform.
func (g *Gossip) PlatformHeard(now time.Time) {
	g.platform.Store(now.UnixNano())
}

// PlatformAge returns how long ago any node that this one knows of has heard the
// platform.
func (g *Gossip) PlatformAge(now time.Time) time.Duration {
	at := g.platform.Load()
	if at == 0 {
		return 1 << 62
	}
	return now.Sub(time.Unix(0, at))
}

func (g *Gossip) learnAge(now time.Time, ms uint64) {
	const never = 1 << 40
	if ms >= never {
		return
	}
	at := now.Add(-time.Duration(ms) * time.Millisecond).UnixNano()
	for {
		old := g.platform.Load()
		if old >= at || g.platform.CompareAndSwap(old, at) {
			return
		}
	}
}

// Compared returns with how many different peers this node has compared all its
// values to the end.
func (g *Gossip) Compared() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.compares)
}

// CutOff tells whether most of the recent calls to peers failed. It is false
// before the first few calls.
func (g *Gossip) CutOff() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.calls < recentCalls {
		return false
	}
	answered := 0
	for _, ok := range g.recent {
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

func (g *Gossip) called(ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recent[g.calls%recentCalls] = ok
	g.calls++
}

// compared notes a conversation that came to its end: only then is this node as
// new as the peer.
func (g *Gossip) compared(peer string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.compares[peer] = true
}

// Publish offers values that this node has learned by itself.
func (g *Gossip) Publish(entries []*wire.Entry) {
	g.spread(g.replica.Offer(entries))
}

// spread hands new values to Run. If Run is far behind they are left to the
// comparisons.
func (g *Gossip) spread(entries []*wire.Entry) {
	if len(entries) == 0 {
		return
	}
	select {
	case g.fresh <- entries:
	default:
	}
}

// Run pushes new values and compares at each beat until the context ends. No
// conversation waits for another: a peer that hangs must not delay the rest.
func (g *Gossip) Run(ctx context.Context) error {
	var talks task.Group
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return talks.Wait()
		case entries := <-g.fresh:
			g.push(ctx, &talks, entries)
		case <-next.C:
			g.compare(ctx, &talks)
			next.Reset(Beat/2 + rand.N(Beat))
		}
		if err := talks.Reap(); err != nil {
			return err
		}
	}
}

// Sync answers the message of a peer.
func (g *Gossip) Sync(_ context.Context, in *wire.SyncRequest) (*wire.SyncReply, error) {
	g.cfg.Heard(in.GetFrom())
	g.learnAge(time.Now(), in.GetPlatformAgeMs())
	g.spread(g.replica.Offer(in.GetEntries()))
	lacks, wanted := g.replica.Compare(time.Now(), in.GetRevisions(), in.GetComplete())
	return &wire.SyncReply{
		From:          g.cfg.Self(),
		Digest:        g.replica.Digest(),
		Entries:       lacks,
		Wanted:        wanted,
		PlatformAgeMs: uint64(g.PlatformAge(time.Now()).Milliseconds()),
		Nodes:         g.mention(),
	}, nil
}

// mention names a few random nodes, so that nodes find each other where the
// platform gives no list.
func (g *Gossip) mention() []*wire.Node {
	var out []*wire.Node
	peers := g.cfg.View().Peers()
	for range min(mentions, len(peers)) {
		n := peers[rand.IntN(len(peers))]
		out = append(out, &wire.Node{
			Address:  n.Address(),
			DataHall: n.DataHall(),
		})
	}
	return out
}

// choose returns up to n different random peers; seeds count as peers until
// others are known, and now and then later, so that two parts of the fleet that
// lost each other meet again.
func (g *Gossip) choose(n int) []string {
	var all []string
	for _, p := range g.cfg.View().Peers() {
		all = append(all, p.Address())
	}
	const seedOdds = 10
	if len(all) < n || rand.IntN(seedOdds) == 0 {
		self := g.cfg.Self().GetAddress()
		for _, s := range g.cfg.Seeds {
			if s != self {
				all = append(all, s)
			}
		}
	}
	slices.Sort(all)
	all = slices.Compact(all)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}
