// SPDX-License-Identifier: Apache-2.0

package signal

import "time"

// Incarnation names one start of a target as this node knows it.
type Incarnation struct {
	Service string
	// Key names the incarnation in the configuration; Name is the published ID, or the address
	// where there is none, which all incarnations of the target share.
	Key  string
	Name string
	// Named is set where Name is an ID: the next incarnation then has another key.
	Named bool
	// Born is when the incarnation began by the target's clock, the zero time where it isn't
	// published.
	Born time.Time
}

// place is what all incarnations of a target share.
type place struct {
	service string
	name    string
}

func (i Incarnation) place() place {
	return place{
		service: i.Service,
		name:    i.Name,
	}
}

// Limit is a bound on the requests that a target accepts from the whole fleet. Its zero value
// is no limit.
type Limit struct {
	// Rate is in requests a second; 0 accepts none.
	Rate float64
	// Set reports whether there is a limit.
	Set bool
}

// Signal is what one response says of its target.
type Signal struct {
	// Draining is set where the target takes no new work.
	Draining bool
	// Backoff is for how long the target wants no request from this node.
	Backoff time.Duration
	// Limit holds until a later response names another one, or none.
	Limit Limit
	// LimitUnread is set where a limit is named that can't be read: the one before it holds.
	LimitUnread bool
}

// Standing is what holds for a target at one time.
type Standing struct {
	Draining bool
	// Unsure is set where it may have been the incarnation before that was draining: this node
	// sends nothing, others may.
	Unsure bool
	// Backoff is how much longer the target wants no request from this node, 0 for no
	// backoff, and BackoffTotal how long it is in all.
	Backoff      time.Duration
	BackoffTotal time.Duration
	// Limit is the target's limit, and LimitAt when it answered so; the zero time means that
	// no response ever named one.
	Limit   Limit
	LimitAt time.Time
}

// Barred reports whether no request may be sent to the target.
func (s Standing) Barred() bool { return s.Draining || s.Backoff > 0 }

// permitTime is how long a permit lasts: requests that were held up after their grant would
// reach a target with a limit all at once.
const permitTime = 500 * time.Millisecond

// Permit is the grant of a target. Paced is set where it was paid for from the target's limit.
type Permit struct {
	Paced bool
	At    time.Time
}

// Permits reports whether a request that was granted may be sent to the target at now.
func (s Standing) Permits(now time.Time, p Permit) bool {
	return !s.Barred() && (!s.Limit.Set || p.Paced && now.Sub(p.At) < permitTime)
}
