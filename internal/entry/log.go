// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/forward"
)

// logTry writes the line about one attempt: which target, how long, what came.
func (x *relay) logTry(t *try, a *forward.Answer, err error) {
	l := x.server.log.WithFields(logrus.Fields{
		"request": x.id,
		"service": x.service.Name(),
		"target":  t.choice.Key,
		"took_ms": time.Since(t.chosen).Milliseconds(),
		"again":   t.again,
	})
	if err == nil {
		l.WithField("status", a.Status()).WithField("whole", a.Whole()).Info("attempt answered")
		return
	}
	var fe *forward.Error
	if errors.As(err, &fe) {
		l = l.WithField("outcome", fe.Outcome().String()).WithField("kind", string(fe.Kind()))
	}
	l.WithError(err).Warn("attempt failed")
}

// logNoTarget writes the line about an attempt that couldn't begin.
func (x *relay) logNoTarget(err error) {
	x.server.log.WithField("request", x.id).WithField("service", x.service.Name()).
		WithError(err).Warn("no target for the attempt")
}
