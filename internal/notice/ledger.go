// SPDX-License-Identifier: Apache-2.0

package notice

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MostRest bounds the rest that a target gets for one answer. A planned start takes less;
	// a target that wants more says so again when the next request reaches it. What
	// can't be meant, such as a time of day in seconds, then costs this long.
	MostRest = 2 * time.Minute
	// leavingUnnamed is how long a word of leaving holds for a target without a published ID:
	// its next life has the same address, and can't be told from this one.
	leavingUnnamed = time.Minute
	// clockDoubt is by how much the clocks of a target and of this node are taken to differ at
	// most: the users' bound on time that is off.
	clockDoubt = 5 * time.Second
	// keptUnlisted is how long a target that isn't published is remembered: entries of
	// targets that live may be away while the platform is.
	keptUnlisted = 10 * time.Minute
	// mostKept bounds the targets that are remembered, some 250 bytes each: more than the
	// 8,700 of the largest fleet that is planned for. Beyond it the oldest tenth goes.
	mostKept = 10_000
)

// Life names one life of a target as this node knows it.
type Life struct {
	Service string
	// Key is the life's in the configuration; Name is the published ID, or the address where
	// there is none, which the target keeps over its lives.
	Key  string
	Name string
	// Named is set where Name is an ID: the next life then has another key.
	Named bool
	// Born is when the life began by the target's clock, the zero time where it doesn't say.
	Born time.Time
}

// place is what all lives of a target share.
type place struct {
	service string
	name    string
}

func (l Life) place() place {
	return place{
		service: l.Service,
		name:    l.Name,
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

// Notice is what one answer says of its target.
type Notice struct {
	// Limit holds until a later answer names another one, or none.
	Limit Limit
	// LimitUnread is set where a limit is named that can't be read: the one before it holds.
	LimitUnread bool
	// Leaving is set where the target takes no new work.
	Leaving bool
	// Rest is for how long the target wants nothing from this node.
	Rest time.Duration
}

// Standing is what holds for a target at one time.
type Standing struct {
	Leaving bool
	// Rest is how much longer the target wants nothing from this node, 0 for no rest, and
	// Whole how long it is in all.
	Rest  time.Duration
	Whole time.Duration
	// Limit is the target's limit, and LimitAt when it answered so; the zero time means that
	// no answer ever named one.
	Limit   Limit
	LimitAt time.Time
}

// Barred reports whether no request may be sent to the target.
func (s Standing) Barred() bool { return s.Leaving || s.Rest > 0 }

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

// record is what is known of a target, and the life that said it as it was known then.
type record struct {
	life    Life
	leaving bool
	// leavingUntil ends the word of leaving; the zero time means never.
	leavingUntil time.Time
	restFrom     time.Time
	restUntil    time.Time
	limit        Limit
	limitAt      time.Time
	// limitUnread is set while the target names a limit that can't be read.
	limitUnread bool
	heard       time.Time
}

// of reports whether a life said what is recorded. A node that doesn't hear of a new life for a
// while takes its words for those of the one before: what was said once the new one had
// begun is its own. Clocks may differ; where that leaves a doubt nothing is held against it.
func (r record) of(life Life) bool {
	if r.life.Key == life.Key {
		return true
	}
	return life.Born.After(r.life.Born) && life.Born.Add(clockDoubt).Before(r.heard.Round(0))
}

func (r record) standing(now time.Time) Standing {
	s := Standing{
		Leaving: r.leaving && (r.leavingUntil.IsZero() || now.Before(r.leavingUntil)),
		Limit:   r.limit,
		LimitAt: r.limitAt,
	}
	if now.Before(r.restUntil) {
		s.Rest = r.restUntil.Sub(now)
		s.Whole = r.restUntil.Sub(r.restFrom)
	}
	return s
}

// Ledger holds the notices that this node heard. Its zero value is empty. It may be used
// concurrently; reading takes no lock, for each attempt reads it before it sends.
type Ledger struct {
	// mu is held by those who write.
	mu sync.Mutex
	// records holds a record by its place; known is how many there are.
	records sync.Map
	known   atomic.Int64
}

// record returns what a life said.
func (l *Ledger) record(life Life) record {
	if l.Empty() {
		return record{}
	}
	if value, ok := l.records.Load(life.place()); ok {
		if r := value.(record); r.of(life) {
			return r
		}
	}
	return record{}
}

// says reports whether a notice can change what holds for a target.
func (n Notice) says(r record) bool {
	return n.Leaving || n.Rest > 0 || n.Limit.Set || n.LimitUnread || r.limit.Set || r.limitUnread
}

// Hear takes in what an answer says and reports whether it changed what holds. A rest never
// shortens one that was asked for before.
func (l *Ledger) Hear(now time.Time, life Life, n Notice) bool {
	if !n.says(l.record(life)) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if value, ok := l.records.Load(life.place()); ok && value.(record).life.Born.After(life.Born) {
		// The attempt was begun before the newer life was known; that one has answered.
		life = value.(record).life
	}
	r := l.record(life)
	before := r.standing(now)
	r.life = life
	r.heard = now
	if n.Leaving {
		r.leaving = true
		if !life.Named {
			r.leavingUntil = now.Add(leavingUnnamed)
		}
	}
	rest := min(n.Rest, MostRest)
	longer := rest > before.Rest
	if longer {
		r.restFrom = now
		r.restUntil = now.Add(rest)
	}
	limited := r.observeLimit(now, n)
	l.store(r)
	return longer || limited || n.Leaving && !before.Leaving
}

// observeLimit records the limit that an answer names at now, or that it names none, and
// reports whether that changed.
func (r *record) observeLimit(now time.Time, n Notice) bool {
	changed := r.limitUnread != n.LimitUnread
	r.limitUnread = n.LimitUnread
	if n.LimitUnread || now.Before(r.limitAt) {
		return changed
	}
	changed = changed || r.limit != n.Limit
	if n.Limit.Set || !r.limitAt.IsZero() {
		r.limitAt = now
	}
	r.limit = n.Limit
	return changed
}

// Learn records a limit that a peer told of, by when the target answered so. What this node
// heard itself later stays.
func (l *Ledger) Learn(now, at time.Time, life Life, limit Limit) {
	if before := l.record(life); !at.After(before.limitAt) || before.limit == limit {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(life)
	if !at.After(r.limitAt) {
		return
	}
	r.life, r.heard = life, now
	r.limit, r.limitAt = limit, at
	l.store(r)
}

// store keeps a record in place of the one before. l.mu is held.
func (l *Ledger) store(r record) {
	if _, old := l.records.Swap(r.life.place(), r); !old && l.known.Add(1) > mostKept {
		l.dropOldest()
	}
}

// dropOldest forgets the tenth of all that was heard longest ago. l.mu is held.
func (l *Ledger) dropOldest() {
	var all []record
	for _, r := range l.records.Range {
		all = append(all, r.(record))
	}
	slices.SortFunc(all, func(a, b record) int { return a.heard.Compare(b.heard) })
	for _, r := range all[:mostKept/10] {
		l.drop(r.life.place())
	}
}

// drop forgets a target. l.mu is held.
func (l *Ledger) drop(p place) {
	l.records.Delete(p)
	l.known.Add(-1)
}

// Standing returns what holds for a target at now.
func (l *Ledger) Standing(now time.Time, life Life) Standing { return l.record(life).standing(now) }

// Empty reports whether nothing is known of any target, as on most days.
func (l *Ledger) Empty() bool { return l.known.Load() == 0 }

// Forget drops what holds no more, and lives that aren't published any more and of which
// nothing was heard for some minutes.
func (l *Ledger) Forget(now time.Time, published func(Life) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, value := range l.records.Range {
		r := value.(record)
		if !r.standing(now).Barred() && !r.limit.Set || !published(r.life) && now.Sub(r.heard) >= keptUnlisted {
			l.drop(r.life.place())
		}
	}
}

// Counts returns how many targets leave and how many rest, by what this node heard.
func (l *Ledger) Counts(now time.Time) (leaving, resting int) {
	for _, r := range l.records.Range {
		s := r.(record).standing(now)
		if s.Leaving {
			leaving++
		}
		if s.Rest > 0 {
			resting++
		}
	}
	return leaving, resting
}
