// SPDX-License-Identifier: Apache-2.0

package node

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/signal"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// newDone returns the message that reports the end of an attempt to a dispatcher.
func newDone(p partition, g numberedGrant, r wire.Done_Result, took time.Duration) *wire.Done {
	return &wire.Done{
		Service:  p.service,
		DataHall: p.hall,
		Request:  g.number,
		Target:   g.grant.GetTarget(),
		Result:   r,
		TookMs:   uint32(took.Milliseconds()),
	}
}

// doneOf returns the message about the end of an attempt that was sent, with the signals that this
// node received from its target. A target that backs off or limits its requests is healthy: the
// requests that it sheds do not count against it.
func doneOf(p partition, g numberedGrant, end outlier.Result, status signal.Status, took time.Duration) *wire.Done {
	done := newDone(p, g, wireResult(end), took)
	done.Lost = end.RequestFailed
	done.Unsent = end.PathLost && end.Unreached
	done.Leaving = status.Draining
	done.Limit = wireLimit(time.Now(), limitOfStatus(done.GetTarget(), status))
	if end.Shed && (status.Backoff > 0 || status.Limit.Set) {
		done.Result = wire.Done_RESTING
		done.RestMs = uint32(status.Backoff.Milliseconds())
	}
	return done
}

// wireResult returns the result of an attempt that a message reports for its target.
func wireResult(end outlier.Result) wire.Done_Result {
	switch {
	case end.PathLost:
		return wire.Done_IGNORED
	case end.Replaced:
		return wire.Done_GONE
	case end.Shed:
		return wire.Done_SHED
	case end.Unreached:
		return wire.Done_UNREACHED
	case end.Ignored:
		return wire.Done_IGNORED
	case end.Failed:
		return wire.Done_BAD
	default:
		return wire.Done_GOOD
	}
}

// resultOfWire returns the result that a message reports.
func resultOfWire(w *wire.Done) dispatch.Result {
	if w.GetUnsent() && w.GetResult() == wire.Done_IGNORED {
		return dispatch.ResultUnsent
	}
	return dispatch.Result(w.GetResult())
}
