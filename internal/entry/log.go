// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/forward"
)

// Log lines about one request carry its ID in the field "request". A request that
// succeeds at its first attempt has one line; each failed attempt and each retry has
// a line of its own.

// logTry logs one attempt: the target, the node that chose it, the times and the result.
func (x *relay) logTry(t *try, a *forward.Answer, err error) {
	if err == nil && !t.retry && !retryableStatus(a.Status()) {
		return
	}
	l := x.server.log.WithFields(logrus.Fields{
		"request":   x.id,
		"service":   x.service.Name(),
		"target":    t.choice.Key,
		"by":        t.choice.By,
		"waited_ms": t.chosen.Sub(t.started).Milliseconds(),
		"took_ms":   time.Since(t.chosen).Milliseconds(),
		"again":     t.retry,
		"doubt":     t.choice.LossProbability,
		"trial":     t.choice.Trial,
	})
	if err == nil {
		l.WithField("status", a.Status()).WithField("whole", a.Whole()).Info("attempt answered")
		return
	}
	var fe *forward.Error
	if errors.As(err, &fe) {
		l = l.WithField("outcome", fe.Outcome().String()).WithField("kind", string(fe.Kind())).
			WithField("proof", string(fe.Proof()))
		l = x.withEvidence(l, fe.Evidence())
	}
	l.WithError(err).Warn("attempt failed")
}

// withEvidence adds where the answer of a failed attempt comes from, and counts it if that is unclear.
func (x *relay) withEvidence(l *logrus.Entry, e *forward.Evidence) *logrus.Entry {
	if e == nil {
		return l
	}
	if x.server.cfg.OnUnmatched != nil && e.Echo() != forward.EchoOwn {
		x.server.cfg.OnUnmatched()
	}
	return l.WithFields(logrus.Fields{
		"answer_status":       e.Status(),
		"answer_id":           e.Echo().String(),
		"connection_requests": e.Requests(),
		"connection_carried":  e.Carried(),
	})
}

// logNoTarget logs an attempt that got no target.
func (x *relay) logNoTarget(err error, hedge bool) {
	l := x.server.log.WithField("request", x.id).WithField("service", x.service.Name()).WithError(err)
	var none *NoTargetError
	if errors.As(err, &none) && none.retryAfter > 0 {
		l = l.WithField("retry_after_ms", none.retryAfter.Milliseconds())
	}
	if hedge {
		l.Debug("no target for a hedged attempt")
		return
	}
	l.Warn("no target for the attempt")
}

// logEnd logs the final answer to a request.
func (x *relay) logEnd(status int, outcome attempt.Outcome, fail *Error) {
	l := x.server.log.WithFields(logrus.Fields{
		"request":  x.id,
		"route":    x.admission.route.Name(),
		"revision": x.admission.config.Position().Revision(),
		"service":  x.service.Name(),
		"status":   status,
		"outcome":  outcome.String(),
		"attempts": x.launched,
		"took_ms":  time.Since(x.started).Milliseconds(),
	})
	if x.peerHead != nil {
		l = l.WithField("for_peer", true).WithField("repeatable", x.tracker.Repeatable())
	}
	if x.server.closing.Load() {
		l = l.WithField("stopping", true)
	}
	if x.admission.workspace != "" {
		l = l.WithField("workspace", x.admission.workspace)
	}
	if x.winner != nil {
		l = l.WithFields(logrus.Fields{
			"target":    x.winner.choice.Key,
			"hall":      x.winner.choice.DataHall,
			"by":        x.winner.choice.By,
			"doubt":     x.winner.choice.LossProbability,
			"trial":     x.winner.choice.Trial,
			"waited_ms": x.winner.chosen.Sub(x.winner.started).Milliseconds(),
		})
	}
	if x.winner != nil && x.winner.peer != "" {
		l = l.WithField("peer", x.winner.peer)
	}
	if fail != nil {
		l = l.WithField("fingerprint", x.fingerprints.Content().String()).WithField("caller", callerOf(x.req, x.admission))
		l = l.WithField("proofs", x.proofs)
		l.WithError(fail).Warn("request failed")
		return
	}
	l.Info("request answered")
}
