// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/notice"
)

// lifeOf returns the life of a choice's target.
func (x *relay) lifeOf(c Choice) notice.Life {
	return notice.Life{
		Service: x.service.Name(),
		Key:     c.Key,
		Named:   c.ID != "",
	}
}

// heard takes in what an answer says of its target.
func (x *relay) heard(c Choice, n notice.Notice, err error) {
	l := x.server.log.WithField("request", x.id).WithField("service", x.service.Name()).WithField("target", c.Key)
	if err != nil {
		l.WithError(err).Warn("target asks for a rest that can't be read")
	}
	if !x.server.cfg.Notices.Hear(time.Now(), x.lifeOf(c), n) {
		return
	}
	if n.Leaving {
		l = l.WithField("leaving", true)
	}
	l.WithField("rest_ms", min(n.Rest, notice.MostRest).Milliseconds()).Info("target says what it wants")
}
