// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/signal"
)

// observe records the signal of an answer, and logs it if it changes the target's status.
func (x *relay) observe(c Choice, s signal.Signal, err error) {
	if c.Reported != nil && s.Load.Reported() {
		c.Reported(s.Load)
	}
	if s == (signal.Signal{}) && err == nil && x.server.cfg.Signals.Empty() {
		return
	}
	l := x.server.log.WithField("request", x.id).WithField("service", x.service.Name()).WithField("target", c.Key)
	observed := x.server.cfg.Signals.Observe(time.Now(), c.Incarnation, s)
	if err != nil && (observed.Unreadable || !s.LimitUnreadable && !s.LoadUnreadable) {
		l.WithError(err).Warn("target asks for what can't be read")
	}
	if !observed.Changed {
		return
	}
	if s.Draining {
		l = l.WithField("leaving", true)
	}
	if s.Limit.Set {
		l = l.WithField("limit", s.Limit.Rate)
	}
	l.WithField("rest_ms", min(s.Backoff, signal.MaxBackoff).Milliseconds()).Info("target says what it wants")
}
