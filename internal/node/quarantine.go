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

// Times and counts of requests under which targets crash.
const (
	// quarantineRoles is over how many roles the counting of crashes is spread: when a data hall of
	// 1,000 targets is lost, each receives some 100 records.
	quarantineRoles = 64
	// quarantineHolders is how many nodes count the crashes of a request. One of them may be lost.
	quarantineHolders = 2
	// quarantineFanout is to how many nodes each one forwards an update: all but a few in 100
	// receive it this way, the rest by comparison of digests.
	quarantineFanout = 4
	// compareInterval is the least time between two lists that a node sends because the digest of a
	// peer differs: at most 1.3 kB each time while they differ.
	compareInterval = 200 * time.Millisecond
	// quarantineBytes bounds the records of one datagram, of 50 to 170 bytes each.
	quarantineBytes = 1000
	// quarantinePruneInterval is how often expired records are dropped.
	quarantinePruneInterval = 10 * time.Second
)

// quarantineController keeps requests that crash targets away from them, jointly with the other
// nodes. It may be used concurrently.
type quarantineController struct {
	board *Board
	// messenger is nil where nodes exchange no datagrams: each one decides by its own records.
	messenger *messenger
	answers   *quarantine.Answers
	log       *logrus.Entry
	// setShared receives the number of requests that all nodes have records of.
	setShared func(n int)
	// count is the number of requests with records: most of the time 0.
	count  atomic.Int32
	digest atomic.Uint64

	mu     sync.Mutex
	ledger *quarantine.Ledger
	// lastCompared is when a list was last sent, lastPruned when records were last dropped.
	lastCompared time.Time
	lastPruned   time.Time
}

func newQuarantineController(board *Board, started time.Time, log *logrus.Entry) *quarantineController {
	return &quarantineController{
		board:     board,
		answers:   quarantine.NewAnswers(started),
		log:       log,
		setShared: func(int) {},
		ledger:    quarantine.NewLedger(rand.Uint64()),
	}
}

// check returns the quarantine status of a request.
func (q *quarantineController) check(fingerprints quarantine.Fingerprints) quarantine.Status {
	if q.count.Load() == 0 {
		return quarantine.Status{}
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.prune(now)
	return q.ledger.Check(now, fingerprints)
}

// prune drops expired records every quarantinePruneInterval and updates count and digest. q.mu is
// held.
func (q *quarantineController) prune(now time.Time) {
	if now.Sub(q.lastPruned) >= quarantinePruneInterval {
		q.lastPruned = now
		q.ledger.Forget(now)
	}
	q.count.Store(int32(q.ledger.Len()))
	q.digest.Store(q.ledger.Digest())
}

// recordCrash records that a target crashed under a request, and returns the quarantine status of
// the request.
func (q *quarantineController) recordCrash(fingerprints quarantine.Fingerprints, target string) quarantine.Status {
	now := time.Now()
	for _, fingerprint := range fingerprints.All() {
		if q.answers.Recent(now, fingerprint) {
			continue
		}
		q.change(now, "", func() []quarantine.Record { return q.ledger.RecordCrash(now, fingerprint, target) })
	}
	return q.check(fingerprints)
}

// recordAnswer records that a target answered a request.
func (q *quarantineController) recordAnswer(fingerprints quarantine.Fingerprints) {
	now := time.Now()
	q.answers.Record(now, fingerprints)
	if q.count.Load() == 0 {
		return
	}
	for _, fingerprint := range fingerprints.All() {
		q.change(now, "", func() []quarantine.Record { return q.ledger.RecordAnswer(fingerprint) })
	}
}

// change applies fn to the ledger and sends the records that changed to other nodes. from is the
// peer that sent them, "" if they are this node's own.
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

// disseminate sends a record that changed: one for all nodes to some of them, which forward it, any
// other one to the nodes that count crashes.
func (q *quarantineController) disseminate(now time.Time, r quarantine.Record, from string) {
	if q.messenger == nil {
		return
	}
	to := q.holders(r.Fingerprint)
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

// holders returns the nodes that count the crashes of a request.
func (q *quarantineController) holders(fingerprint quarantine.Fingerprint) []membership.Node {
	role := "quarantine/" + strconv.Itoa(int(fingerprint[0])%quarantineRoles)
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

// compare compares the digest of a peer with that of this node, and sends this node's records if
// they differ.
func (q *quarantineController) compare(peer string, digest uint64) {
	if digest == q.digest.Load() {
		return
	}
	now := time.Now()
	if list := q.recordsToSend(now); len(list) > 0 {
		// If not all of them fit, a different selection is sent next time.
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		q.send(now, peer, list)
	}
}

// recordsToSend returns the records that all nodes should have, or nil if they were sent within
// compareInterval: each datagram of a peer whose digest differs leads here.
func (q *quarantineController) recordsToSend(now time.Time) []quarantine.Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	// Otherwise a node would keep sending expired records to one that has dropped them.
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

// send sends as many records as fit into a datagram.
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

// wireRecord returns the message of a record.
func wireRecord(now time.Time, r *quarantine.Record) *wire.QuarantineRecord {
	w := &wire.QuarantineRecord{
		Print: r.Fingerprint[:],
	}
	for _, crash := range r.Crashes {
		w.Ends = append(w.Ends, &wire.TargetEnd{
			Target:   crash.Target,
			AgeMs:    uint32(max(now.Sub(crash.At), 0).Milliseconds()),
			Answered: crash.Answered,
		})
	}
	return w
}

// merge merges the records of a peer.
func (q *quarantineController) merge(peer string, in *wire.Quarantine) {
	now := time.Now()
	for _, w := range in.GetRecords() {
		r, ok := recordOfWire(now, w)
		if !ok {
			q.log.WithField("peer", peer).Warn("invalid quarantine record")
			continue
		}
		q.change(now, peer, func() []quarantine.Record { return q.ledger.Merge(now, r) })
		if q.answers.Recent(now, r.Fingerprint) {
			q.change(now, "", func() []quarantine.Record { return q.ledger.RecordAnswer(r.Fingerprint) })
		}
	}
}

// recordOfWire returns the record of a message, and false if it is invalid.
func recordOfWire(now time.Time, w *wire.QuarantineRecord) (quarantine.Record, bool) {
	var r quarantine.Record
	if len(w.GetPrint()) != len(r.Fingerprint) {
		return r, false
	}
	copy(r.Fingerprint[:], w.GetPrint())
	for _, e := range w.GetEnds() {
		r.Crashes = append(r.Crashes, quarantine.Crash{
			Target:   e.GetTarget(),
			At:       now.Add(-time.Duration(e.GetAgeMs()) * time.Millisecond),
			Answered: e.GetAnswered(),
		})
	}
	return r, true
}

// status returns the status of the requests that all nodes have records of.
func (q *quarantineController) status(now time.Time) []operator.QuarantineStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []operator.QuarantineStatus
	for _, r := range q.ledger.Shared() {
		s := q.ledger.Status(now, r.Fingerprint)
		out = append(out, operator.QuarantineStatus{
			Fingerprint: r.Fingerprint.String(),
			Crashes:     s.Crashes,
			AgeMS:       now.Sub(s.Last).Milliseconds(),
			WaitMS:      s.Wait.Milliseconds(),
		})
	}
	return out
}

// logChange logs a record that changed.
func (q *quarantineController) logChange(now time.Time, r *quarantine.Record, from string) {
	l := q.log.WithFields(logrus.Fields{
		"fingerprint": r.Fingerprint.String(),
		"ends":        r.Count(),
		"age_ms":      now.Sub(r.Crashes[len(r.Crashes)-1].At).Milliseconds(),
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
