// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/admission"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/ratelimit"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Times and counts of limits.
const (
	// limitParts is over how many allocators the workspaces are spread: at a thousand nodes
	// each has some thousand asks a second.
	limitParts = 32
	// limitBeat is how often a node looks which workspaces it should report.
	limitBeat = 200 * time.Millisecond
	// drawAgain is after how long an ask is sent again, drawGiveUp after how long without an
	// answer the node decides alone. A way between data halls takes a few milliseconds.
	drawAgain  = 25 * time.Millisecond
	drawGiveUp = 70 * time.Millisecond
	// drawDistrust is how long an allocator that did not answer isn't asked.
	drawDistrust = 500 * time.Millisecond
	// contactTime is how long after the last word of any peer a node counts as cut off:
	// each is pinged several times a second.
	contactTime = time.Second
	// drawMost is how many workspaces one datagram tells of, some 60 bytes each with names
	// of usual length; drawBytes bounds their size.
	drawMost  = 12
	drawBytes = 1000
	// forgetBeat is how often allocators forget what is out of use.
	forgetBeat = 10 * time.Second
)

// limiting keeps the limits of workspaces together with the other nodes. It may be used
// concurrently.
type limiting struct {
	board     *Board
	messenger *messenger
	limiter   *ratelimit.Limiter
	// equal gives each node the same part of a limit, where nodes exchange no datagrams.
	equal *admission.Limiter
	// seeds is how many nodes the settings name.
	seeds int
	life  uint64
	log   *logrus.Entry
	// heard is when a peer was last heard, as the time since begun.
	begun time.Time
	heard atomic.Int64

	mu        sync.Mutex
	allocator *ratelimit.Allocator
	// answered are the answers to draws lately: one that is repeated must not take tokens
	// twice.
	answered map[drawKey]*answeredDraw
	// distrust is until when an allocator isn't asked.
	distrust map[string]time.Time
	// lives are the newest incarnations of nodes.
	lives map[string]uint64
}

// drawKey names a draw.
type drawKey struct {
	node string
	call uint64
}

type answeredDraw struct {
	at    time.Time
	allot *wire.Allot
}

func newLimiting(board *Board, begun time.Time, life uint64, t ratelimit.Tolerance, log *logrus.Entry) *limiting {
	return &limiting{
		board:     board,
		limiter:   ratelimit.NewLimiter(),
		equal:     admission.NewLimiter(),
		life:      life,
		begun:     begun,
		log:       log,
		allocator: ratelimit.NewAllocator(life, begun, t),
		answered:  map[drawKey]*answeredDraw{},
		distrust:  map[string]time.Time{},
		lives:     map[string]uint64{},
	}
}

// limitOf returns the limit of a workspace, and false if it has none.
func limitOf(w *fleetconfig.Workspace) (ratelimit.Limit, bool) {
	return ratelimit.Limit{
		Rate:  w.Rate(),
		Burst: w.Burst(),
	}, w.Rate() > 0
}

// admit takes a request of a workspace. It returns nil if the request may go on, which must
// be given back if it has not run.
func (l *limiting) admit(ctx context.Context, w *fleetconfig.Workspace) *entry.LimitError {
	limit, limited := limitOf(w)
	if !limited {
		return nil
	}
	if l.messenger == nil {
		if wait := l.equal.Admit(time.Now(), w.ID(), limit.Rate, limit.Burst, l.board.nodes()); wait > 0 {
			return l.limitError(w, limit, wait, byEqualParts)
		}
		return nil
	}
	v, wait := l.limiter.Take(time.Now(), w.ID(), limit)
	by := byLastWord
	if v == ratelimit.Ask {
		v, wait, by = l.ask(ctx, w.ID(), limit)
	}
	if v == ratelimit.Admitted {
		return nil
	}
	return l.limitError(w, limit, wait, by)
}

// Who refused a request beyond a limit.
const (
	byAllocator  = "allocator"
	byLastWord   = "last word of the allocator"
	byItselfOnly = "this node alone"
	byEqualParts = "equal parts"
)

func (l *limiting) limitError(w *fleetconfig.Workspace, limit ratelimit.Limit, wait time.Duration, by string) *entry.LimitError {
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
func (l *limiting) giveBack(w *fleetconfig.Workspace) {
	if _, limited := limitOf(w); limited && l.messenger != nil {
		l.limiter.GiveBack(w.ID())
	}
}

// ask asks the allocator for a token, and decides alone if it doesn't answer. by says who
// decided.
func (l *limiting) ask(ctx context.Context, workspace string, limit ratelimit.Limit) (v ratelimit.Verdict, wait time.Duration, by string) {
	admitted, answered := l.draw(ctx, l.holder(workspace), []string{workspace}, 1)
	now := time.Now()
	switch {
	case admitted > 0:
		return ratelimit.Admitted, 0, byAllocator
	case answered:
		return ratelimit.Refused, l.limiter.Refuse(now, workspace), byAllocator
	default:
		v, wait = l.limiter.Alone(now, workspace, limit, l.board.nodes())
		return v, wait, byItselfOnly
	}
}

// holder returns the node that should allocate the limit of a workspace.
func (l *limiting) holder(workspace string) membership.Node {
	view := l.board.view.Load()
	part := xxhash.Sum64String(workspace) % limitParts
	if nodes := view.Duty(limitDuties[part], "", 1); len(nodes) > 0 {
		return nodes[0]
	}
	return view.Self()
}

// limitDuties are the names of the allocators' duties.
var limitDuties = func() (out [limitParts]string) {
	for i := range out {
		out[i] = "limits/" + string(rune('A'+i))
	}
	return out
}()

// draw reports some workspaces to a node and takes its answer. waiting is how many
// requests wait for a token of each; it returns how many of them may go on, and whether
// the node allocates.
func (l *limiting) draw(ctx context.Context, holder membership.Node, workspaces []string, waiting int) (admitted int, answered bool) {
	now := time.Now()
	out := l.usages(now, workspaces, waiting)
	if len(out.GetUsages()) == 0 {
		return 0, false
	}
	if holder == l.board.view.Load().Self() {
		return l.take(now, l.allot(now, holder.Address(), l.life, out), waiting)
	}
	if l.distrusted(now, holder.Address()) {
		return 0, false
	}
	in := l.call(ctx, holder.Address(), out)
	if in == nil {
		if ctx.Err() == nil {
			l.doubt(holder.Address())
		}
		return 0, false
	}
	return l.take(time.Now(), in, waiting)
}

// call sends a draw until it is answered, and returns nil if it is not.
func (l *limiting) call(ctx context.Context, peer string, out *wire.Draw) *wire.Allot {
	id, answers, end := l.messenger.call()
	defer end()
	send := func() {
		l.messenger.send(peer, &wire.Datagram{
			Call: id,
			Body: &wire.Datagram_Draw{
				Draw: out,
			},
		})
	}
	send()
	again := time.NewTicker(drawAgain)
	defer again.Stop()
	limit := time.NewTimer(drawGiveUp)
	defer limit.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-answers:
			return in.GetAllot()
		case <-again.C:
			send()
		case <-limit.C:
			l.log.WithField("peer", peer).Debug("allocator did not answer")
			return nil
		}
	}
}

func (l *limiting) distrusted(now time.Time, peer string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.distrust[peer])
}

func (l *limiting) doubt(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.distrust[peer] = time.Now().Add(drawDistrust)
}

// usages returns the reports of workspaces.
func (l *limiting) usages(now time.Time, workspaces []string, waiting int) *wire.Draw {
	out := &wire.Draw{}
	for _, w := range workspaces {
		if r, _, known := l.limiter.Report(now, w, waiting); known {
			out.Usages = append(out.Usages, usageOf(w, r))
		}
	}
	return out
}

// take takes an allocator's answer for some waiting requests.
func (l *limiting) take(now time.Time, in *wire.Allot, waiting int) (admitted int, answered bool) {
	for _, a := range in.GetAllotments() {
		if !a.GetDeclined() {
			admitted += l.limiter.Answer(now, a.GetWorkspace(), shareOf(in.GetBy(), a), waiting, waiting)
			answered = true
		}
	}
	return admitted, answered
}

// allot answers the draw of a node in one of its lives.
func (l *limiting) allot(now time.Time, node string, life uint64, in *wire.Draw) *wire.Allot {
	out := &wire.Allot{
		By: l.life,
	}
	c := l.board.currentConfig()
	able := c != nil && l.able(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range in.GetUsages() {
		a := &wire.Allotment{
			Workspace: u.GetWorkspace(),
			Declined:  true,
		}
		if able {
			if w := c.Workspace(u.GetWorkspace()); w != nil && w.Rate() > 0 {
				limit, _ := limitOf(w)
				fillAllotment(a, l.allocator.Report(now, w.ID(), limit, node, life, reportOf(u)))
			}
		}
		out.Allotments = append(out.Allotments, a)
	}
	return out
}

// able tells whether this node may allocate: a part of the fleet that lost most of the
// others must not give out the whole limit once more.
func (l *limiting) able(now time.Time) bool {
	view := l.board.view.Load()
	if len(view.Peers()) == 0 {
		return l.seeds == 0
	}
	if now.Sub(l.begun)-time.Duration(l.heard.Load()) > contactTime {
		return false
	}
	return 2*len(view.Live()) > view.Nodes()
}

// drawn answers the draw of a peer.
func (l *limiting) drawn(in *wire.Datagram) {
	now := time.Now()
	key := drawKey{
		node: in.GetFrom().GetAddress(),
		call: in.GetCall(),
	}
	l.mu.Lock()
	known := l.answered[key]
	l.mu.Unlock()
	if known == nil {
		known = &answeredDraw{
			at:    now,
			allot: l.allot(now, key.node, in.GetFrom().GetIncarnation(), in.GetDraw()),
		}
		l.mu.Lock()
		l.answered[key] = known
		l.mu.Unlock()
	}
	l.messenger.send(key.node, &wire.Datagram{
		Call: in.GetCall(),
		Body: &wire.Datagram_Allot{
			Allot: known.allot,
		},
	})
}

// touched notes that a peer was heard.
func (l *limiting) touched(now time.Time) { l.heard.Store(int64(now.Sub(l.begun))) }

// began notes a node's incarnation. With a new one it holds nothing of what it had.
func (l *limiting) began(node string, incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation <= l.lives[node] {
		return
	}
	if l.lives[node] > 0 {
		l.allocator.Began(node, incarnation)
	}
	l.lives[node] = incarnation
}

// run reports to allocators until the context ends.
func (l *limiting) run(ctx context.Context) error {
	var draws task.Group
	beat := time.NewTicker(limitBeat)
	defer beat.Stop()
	forgot := time.Now()
	for {
		select {
		case <-ctx.Done():
			return draws.Wait()
		case now := <-beat.C:
			l.report(ctx, &draws, now)
			l.renew(now, now.Sub(forgot) > forgetBeat)
			if now.Sub(forgot) > forgetBeat {
				forgot = now
			}
			if err := draws.Reap(); err != nil {
				return err
			}
		}
	}
}

// report tells allocators of the workspaces that are due, several in one datagram.
func (l *limiting) report(ctx context.Context, draws *task.Group, now time.Time) {
	byHolder := map[membership.Node][]string{}
	for _, w := range l.limiter.Due(now) {
		h := l.holder(w)
		byHolder[h] = append(byHolder[h], w)
	}
	for holder, workspaces := range byHolder {
		for len(workspaces) > 0 {
			n := fitting(workspaces)
			some := workspaces[:n]
			workspaces = workspaces[n:]
			draws.Go(ctx, "report limits", func(ctx context.Context) error {
				_, _ = l.draw(ctx, holder, some, 0)
				return nil
			})
		}
	}
}

// fitting returns how many of some workspaces, at least one, fit into a datagram.
func fitting(workspaces []string) int {
	size := 0
	for i, w := range workspaces {
		size += len(w) + drawBytes/drawMost
		if i > 0 && size > 2*drawBytes || i >= drawMost {
			return i
		}
	}
	return len(workspaces)
}

// renew tells the allocator which part of the fleet is lost and drops what is out of use;
// buckets only now and then.
func (l *limiting) renew(now time.Time, buckets bool) {
	view := l.board.view.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allocator.Lost(1 - float64(len(view.Live()))/float64(view.Nodes()))
	for key, a := range l.answered {
		if now.Sub(a.at) > time.Second {
			delete(l.answered, key)
		}
	}
	if buckets {
		l.allocator.Forget(now)
	}
}
