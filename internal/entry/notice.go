// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/notice"
)

// heard takes in what an answer says of its target.
func (x *relay) heard(c Choice, n notice.Notice, err error) {
	if n == (notice.Notice{}) && err == nil && x.server.cfg.Notices.Empty() {
		return
	}
	l := x.server.log.WithField("request", x.id).WithField("service", x.service.Name()).WithField("target", c.Key)
	changed := x.server.cfg.Notices.Hear(time.Now(), c.Life, n)
	if err != nil && (changed || !n.LimitUnread) {
		l.WithError(err).Warn("target asks for what can't be read")
	}
	if !changed {
		return
	}
	if n.Leaving {
		l = l.WithField("leaving", true)
	}
	if n.Limit.Set {
		l = l.WithField("limit", n.Limit.Rate)
	}
	l.WithField("rest_ms", min(n.Rest, notice.MostRest).Milliseconds()).Info("target says what it wants")
}
