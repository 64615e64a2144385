// SPDX-License-Identifier: Apache-2.0

package node

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/operator"
	"ploverjunction.example/ploverjunction/internal/quarantine"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Times and counts of requests under which targets end.
const (
	// quarantineRoles is over how many nodes the adding up of ends is spread: when a data
	// hall of 1,000 targets is lost, each has some hundred records to take in.
	quarantineRoles = 64
	// quarantineHolders is how many nodes add up what is known of a request. One of them may
	// be lost.
	quarantineHolders = 2
	// quarantineFanout is to how many nodes news is passed on by each that learns it: all but a
	// few in a hundred learn it so, the rest by comparing.
	quarantineFanout = 4
	// compareInterval is the least time between two lists that a node sends because a peer knows
	// other than it does: at most 1.3 kB each time while they differ.
	compareInterval = 200 * time.Millisecond
	// quarantineBytes bounds the records on one datagram, which are of 50 to 170 bytes each.
	quarantineBytes = 1000
	// quarantinePruneInterval is how often records that are of no use any more are looked for.
	quarantinePruneInterval = 10 * time.Second
)

// quarantineController keeps requests away from targets that end under them, together with the other
// nodes. It may be used concurrently.
type quarantineController struct {
	board *Board
	// messenger is nil where nodes exchange no datagrams: each one goes by what it saw itself.
	messenger *messenger
	answers   *quarantine.Answers
	log       *logrus.Entry
	// setShared gets how many requests all nodes know of.
	setShared func(n int)
	// count tells of how many requests records are kept: most of the time none.
	count  atomic.Int32
	digest atomic.Uint64

	mu     sync.Mutex
	ledger *quarantine.Ledger
	// lastCompared is when a list was last sent, forgot when records were last forgotten.
	lastCompared time.Time
	lastPruned   time.Time
}

func newQuarantineController(board *Board, begun time.Time, log *logrus.Entry) *quarantineController {
	return &quarantineController{
		board:     board,
		answers:   quarantine.NewAnswers(begun),
		log:       log,
		setShared: func(int) {},
		ledger:    quarantine.NewLedger(rand.Uint64()),
	}
}

// check returns what is known of a request.
func (q *quarantineController) check(prints quarantine.Prints) quarantine.Standing {
	if q.count.Load() == 0 {
		return quarantine.Standing{}
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.prune(now)
	return q.ledger.Check(now, prints)
}

// prune drops what is of no use any more, now and then, and tells of what is left. q.mu is
// held.
func (q *quarantineController) prune(now time.Time) {
	if now.Sub(q.lastPruned) >= quarantinePruneInterval {
		q.lastPruned = now
		q.ledger.Forget(now)
	}
	q.count.Store(int32(q.ledger.Len()))
	q.digest.Store(q.ledger.Digest())
}

// ended notes that a target ended under a request, and returns what is known of it then.
func (q *quarantineController) ended(prints quarantine.Prints, target string) quarantine.Standing {
	now := time.Now()
	for _, p := range prints.All() {
		if q.answers.Lately(now, p) {
			continue
		}
		q.change(now, "", func() []quarantine.Record { return q.ledger.Ended(now, p, target) })
	}
	return q.check(prints)
}

// answered notes that a target answered a request.
func (q *quarantineController) answered(prints quarantine.Prints) {
	now := time.Now()
	q.answers.Note(now, prints)
	if q.count.Load() == 0 {
		return
	}
	for _, p := range prints.All() {
		q.change(now, "", func() []quarantine.Record { return q.ledger.Answered(p) })
	}
}

// change applies fn to the ledger and tells the others of the records that changed. from is
// the peer that told of them, "" where this node saw it itself.
func (q *quarantineController) change(now time.Time, from string, fn func() []quarantine.Record) {
	q.mu.Lock()
	changed := fn()
	q.prune(now)
	if len(changed) > 0 {
		q.setShared(len(q.ledger.Shared()))
	}
	q.mu.Unlock()
	for _, r := range changed {
		q.logChange(now, &r, from)
		q.disseminate(now, r, from)
	}
}

// disseminate takes a record that changed to whom it concerns: one that all should know to some
// nodes, which pass it on, another one to those that add up.
func (q *quarantineController) disseminate(now time.Time, r quarantine.Record, from string) {
	if q.messenger == nil {
		return
	}
	to := q.holders(r.Print)
	if r.Shared() {
		to = q.randomNodes()
	} else if from != "" {
		return
	}
	view := q.board.view.Load()
	for _, n := range to {
		if n != view.Self() && n.Address() != from {
			q.send(now, n.Address(), []quarantine.Record{r})
		}
	}
}

// holders returns the nodes that add up what is known of a request.
func (q *quarantineController) holders(p quarantine.Print) []membership.Node {
	role := "quarantine/" + strconv.Itoa(int(p[0])%quarantineRoles)
	return q.board.view.Load().Role(role, "", quarantineHolders)
}

// randomNodes returns a few live nodes at random.
func (q *quarantineController) randomNodes() []membership.Node {
	live := q.board.view.Load().Live()
	if len(live) <= quarantineFanout+1 {
		return live
	}
	out := make([]membership.Node, 0, quarantineFanout)
	for range quarantineFanout {
		out = append(out, live[rand.IntN(len(live))])
	}
	return out
}

// compare looks at the digest of a peer: if it knows other than this node, it gets what this
// one knows.
func (q *quarantineController) compare(peer string, digest uint64) {
	if digest == q.digest.Load() {
		return
	}
	now := time.Now()
	if list := q.recordsToSend(now); len(list) > 0 {
		// Where not all fit another choice goes out next time.
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		q.send(now, peer, list)
	}
}

// recordsToSend returns what all nodes should know, where it may be sent again. Each datagram of a peer
// that knows other asks for it.
func (q *quarantineController) recordsToSend(now time.Time) []quarantine.Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	// Else a node that hasn't forgotten yet would tell one that has, again and again.
	q.prune(now)
	if now.Sub(q.lastCompared) < compareInterval {
		return nil
	}
	list := q.ledger.Shared()
	if len(list) > 0 {
		q.lastCompared = now
	}
	return list
}

// send sends as many records as fit.
func (q *quarantineController) send(now time.Time, peer string, records []quarantine.Record) {
	out := &wire.Quarantine{}
	size := 0
	for i := range records {
		w := wireRecord(now, &records[i])
		if size += proto.Size(w); size > quarantineBytes {
			break
		}
		out.Records = append(out.Records, w)
	}
	q.messenger.send(peer, &wire.Datagram{
		Body: &wire.Datagram_QuarantineNews{
			QuarantineNews: out,
		},
	})
}

// wireRecord returns a record as it travels.
func wireRecord(now time.Time, r *quarantine.Record) *wire.QuarantineRecord {
	w := &wire.QuarantineRecord{
		Print: r.Print[:],
	}
	for _, e := range r.Ends {
		w.Ends = append(w.Ends, &wire.TargetEnd{
			Target:   e.Target,
			AgeMs:    uint32(max(now.Sub(e.At), 0).Milliseconds()),
			Answered: e.Answered,
		})
	}
	return w
}

// merge merges what a peer knows.
func (q *quarantineController) merge(peer string, in *wire.Quarantine) {
	now := time.Now()
	for _, w := range in.GetRecords() {
		r, ok := recordOfWire(now, w)
		if !ok {
			q.log.WithField("peer", peer).Warn("record of a request not understood")
			continue
		}
		q.change(now, peer, func() []quarantine.Record { return q.ledger.Learn(now, r) })
		if q.answers.Lately(now, r.Print) {
			q.change(now, "", func() []quarantine.Record { return q.ledger.Answered(r.Print) })
		}
	}
}

// recordOfWire reads a record of a peer.
func recordOfWire(now time.Time, w *wire.QuarantineRecord) (quarantine.Record, bool) {
	var r quarantine.Record
	if len(w.GetPrint()) != len(r.Print) {
		return r, false
	}
	copy(r.Print[:], w.GetPrint())
	for _, e := range w.GetEnds() {
		r.Ends = append(r.Ends, quarantine.End{
			Target:   e.GetTarget(),
			At:       now.Add(-time.Duration(e.GetAgeMs()) * time.Millisecond),
			Answered: e.GetAnswered(),
		})
	}
	return r, true
}

// status tells operators of the requests that all nodes know of.
func (q *quarantineController) status(now time.Time) []operator.QuarantineStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []operator.QuarantineStatus
	for _, r := range q.ledger.Shared() {
		s := q.ledger.Standing(now, r.Print)
		out = append(out, operator.QuarantineStatus{
			Fingerprint: r.Print.String(),
			Ends:        s.Ends,
			AgeMS:       now.Sub(s.Last).Milliseconds(),
			WaitMS:      s.Wait.Milliseconds(),
		})
	}
	return out
}

// logChange writes a line about what this node believes of a request now.
func (q *quarantineController) logChange(now time.Time, r *quarantine.Record, from string) {
	l := q.log.WithFields(logrus.Fields{
		"fingerprint": r.Print.String(),
		"ends":        r.Count(),
		"age_ms":      now.Sub(r.Ends[len(r.Ends)-1].At).Milliseconds(),
	})
	if from != "" {
		l = l.WithField("from", from)
	}
	if !r.Shared() {
		l.Debug("target ended under a request")
		return
	}
	l.Warn("targets ended under a request")
}
