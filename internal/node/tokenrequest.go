// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"time"

	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// This file requests tokens from allocators.

// combinable returns a workspace together with others that are due soon for a report to the same
// allocator.
func (l *limitController) combinable(workspace string, holder membership.Node) []string {
	out := []string{workspace}
	if l.limiter.Len() > maxCombinedWorkspaces {
		return out
	}
	for _, w := range l.limiter.Due(time.Now().Add(earlyReportTime)) {
		if w != workspace && l.holder(w) == holder {
			out = append(out, w)
		}
	}
	return out[:fittingCount(out)]
}

// requestTokens reports some workspaces to a node and applies its answer. waiting is the number of
// requests that wait for a token of the first one; it returns how many of them are admitted, and
// whether the node allocates.
func (l *limitController) requestTokens(ctx context.Context, holder membership.Node, workspaces []string, waiting int) (admitted int, answered bool) {
	now := time.Now()
	if holder == l.board.view.Load().Self() {
		out := l.usages(now, workspaces, waiting, l.incarnation)
		return l.applyAnswer(now, out, l.allocate(now, holder.Address(), l.incarnation, out), waiting)
	}
	if l.unresponsive(now, holder.Address()) {
		return 0, false
	}
	out := l.usages(now, workspaces, waiting, l.allocatorIncarnation(holder.Address()))
	in := l.sendTokenRequest(ctx, holder.Address(), out)
	if in == nil {
		if ctx.Err() == nil && !l.limiter.Joining(now, workspaces[0]) {
			l.markUnresponsive(holder.Address())
		}
		return 0, false
	}
	l.setAllocatorIncarnation(holder.Address(), in.GetBy())
	return l.applyAnswer(time.Now(), out, in, waiting)
}

// allocatorIncarnation returns the incarnation of a node as an allocator, 0 if it is not known.
func (l *limitController) allocatorIncarnation(peer string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allocatorIncarnations[peer]
}

func (l *limitController) setAllocatorIncarnation(peer string, incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allocatorIncarnations[peer] = incarnation
}

// sendTokenRequest sends a token request until it is answered, and returns nil if it is not.
func (l *limitController) sendTokenRequest(ctx context.Context, peer string, out *wire.Draw) *wire.Allot {
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
	resend := time.NewTicker(tokenResendInterval)
	defer resend.Stop()
	limit := time.NewTimer(tokenTimeout)
	defer limit.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-answers:
			return in.GetAllot()
		case <-resend.C:
			send()
		case <-limit.C:
			l.log.WithField("peer", peer).Debug("allocator did not answer")
			return nil
		}
	}
}

func (l *limitController) unresponsive(now time.Time, peer string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.unresponsiveUntil[peer])
}

func (l *limitController) markUnresponsive(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresponsiveUntil[peer] = time.Now().Add(allocatorBackoff)
}

// usages returns the reports of workspaces to the allocator whose incarnation is to.
func (l *limitController) usages(now time.Time, workspaces []string, waiting int, to uint64) *wire.Draw {
	out := &wire.Draw{}
	for _, w := range workspaces {
		if r, _, known := l.limiter.Report(now, w, waiting); known {
			out.Usages = append(out.Usages, wireUsage(w, r, to))
		}
		waiting = 0
	}
	return out
}

// applyAnswer applies an allocator's answer to a token request; waiting requests wait for its first
// workspace.
func (l *limitController) applyAnswer(now time.Time, out *wire.Draw, in *wire.Allot, waiting int) (admitted int, answered bool) {
	if len(in.GetAllotments()) != len(out.GetUsages()) {
		return 0, false
	}
	for i, a := range in.GetAllotments() {
		if a.GetDeclined() || !validAllotment(a) {
			continue
		}
		workspace, share := out.GetUsages()[i].GetWorkspace(), shareOfWire(in.GetBy(), a)
		if i > 0 {
			l.limiter.Apply(now, workspace, share, 0)
			continue
		}
		admitted = l.limiter.Apply(now, workspace, share, waiting)
		answered = true
	}
	return admitted, answered
}

// run reports to allocators until the context ends. While nothing is limited it wakes once a
// second, as a dispatcher without work does.
func (l *limitController) run(ctx context.Context) error {
	var reports task.Group
	tick := time.NewTimer(reportCheckInterval)
	defer tick.Stop()
	lastPruned := time.Now()
	for {
		select {
		case <-ctx.Done():
			return reports.Wait()
		case now := <-tick.C:
			l.report(ctx, &reports, now)
			l.maintain(now, now.Sub(lastPruned) > allocatorPruneInterval)
			if now.Sub(lastPruned) > allocatorPruneInterval {
				lastPruned = now
			}
			if err := reports.Reap(); err != nil {
				return err
			}
			if l.idle() {
				tick.Reset(idleServeInterval)
			} else {
				tick.Reset(reportCheckInterval)
			}
		}
	}
}

// idle reports whether no workspace with a limit has callers or its bucket on this node.
func (l *limitController) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.Len() == 0 && l.allocator.Len() == 0
}

// report reports the workspaces that are due to allocators, several in one datagram.
func (l *limitController) report(ctx context.Context, reports *task.Group, now time.Time) {
	byHolder := map[membership.Node][]string{}
	for _, w := range l.limiter.Due(now) {
		h := l.holder(w)
		byHolder[h] = append(byHolder[h], w)
	}
	for holder, workspaces := range byHolder {
		for len(workspaces) > 0 {
			n := fittingCount(workspaces)
			batch := workspaces[:n]
			workspaces = workspaces[n:]
			reports.Go(ctx, "report limits", func(ctx context.Context) error {
				_, _ = l.requestTokens(ctx, holder, batch, 0)
				return nil
			})
		}
	}
}

// fittingCount returns how many of the first workspaces, at least one, fit into a datagram.
func fittingCount(workspaces []string) int {
	size := 0
	for i, w := range workspaces {
		size += usageBytes + len(w)
		if i > 0 && size > tokenRequestBytes {
			return i
		}
	}
	return len(workspaces)
}
