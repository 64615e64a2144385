// SPDX-License-Identifier: Apache-2.0

package signal

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxBackoff caps the backoff accepted from a single response.
	MaxBackoff = 2 * time.Minute
	// drainingUnsure is how long a target counts as draining where its incarnations can't be
	// distinguished: without a published ID, and by clocks that may differ.
	drainingUnsure = time.Minute
	// clockSkew is the most by which the clocks of a target and of this node may differ.
	clockSkew = 5 * time.Second
	// unlistedRetention is how long the record of an unpublished target is kept: entries of
	// live targets may be missing while the platform is down.
	unlistedRetention = 10 * time.Minute
	// maxRecords bounds the records, of some 250 bytes each. Beyond it the oldest tenth is
	// dropped.
	maxRecords = 10_000
)

// record holds the signals of a target and the incarnation that sent them.
type record struct {
	incarnation Incarnation
	draining    bool
	// drainingUntil ends the draining; the zero time means never.
	drainingUntil time.Time
	// unsure is set where the signals may be those of the previous incarnation.
	unsure       bool
	backoffFrom  time.Time
	backoffUntil time.Time
	limit        Limit
	limitAt      time.Time
	// limitUnread is set while the target sends a limit that can't be parsed.
	limitUnread bool
	observed    time.Time
}

// forIncarnation returns the record as that of an incarnation, and false if it is of another one. A
// node that receives a new incarnation late records its signals as those of the previous one; signals
// received after its start are its own. Within clockSkew after its start they may be of either, and
// the target counts as draining for drainingUnsure only.
func (r record) forIncarnation(i Incarnation) (record, bool) {
	if r.incarnation.Key == i.Key {
		return r, true
	}
	received := r.observed.Round(0)
	if !i.Born.After(r.incarnation.Born) || received.Before(i.Born) {
		return record{}, false
	}
	if received.Before(i.Born.Add(clockSkew)) {
		r.unsure = true
		r.drainingUntil = r.observed.Add(drainingUnsure)
	}
	return r, true
}

func (r record) status(now time.Time) Status {
	s := Status{
		Draining: r.draining && (r.drainingUntil.IsZero() || now.Before(r.drainingUntil)),
		Limit:    r.limit,
		LimitAt:  r.limitAt,
	}
	s.Uncertain = s.Draining && r.unsure
	if now.Before(r.backoffUntil) {
		s.Backoff = r.backoffUntil.Sub(now)
		s.BackoffTotal = r.backoffUntil.Sub(r.backoffFrom)
	}
	return s
}

// Ledger keeps the signals that this node received. Its zero value is empty. It may be used
// concurrently; reads take no lock, as each attempt reads it before it sends.
type Ledger struct {
	// mu is held for writes.
	mu sync.Mutex
	// records holds the records by targetKey; count is their number.
	records sync.Map
	count   atomic.Int64
	// loads holds the reported loads by targetKey: they bind nobody and are no records.
	loads     sync.Map
	loadCount atomic.Int64
	// loadsPruned is when old loads were last dropped.
	loadsPruned time.Time
}

// record returns the record of an incarnation.
func (l *Ledger) record(i Incarnation) record {
	if l.Empty() {
		return record{}
	}
	if value, ok := l.records.Load(i.targetKey()); ok {
		if r, ok := value.(record).forIncarnation(i); ok {
			return r
		}
	}
	return record{}
}

// newest returns the incarnation of the target's record if it is newer than i, else i. l.mu is held.
func (l *Ledger) newest(i Incarnation) Incarnation {
	if value, ok := l.records.Load(i.targetKey()); ok && value.(record).incarnation.Born.After(i.Born) {
		return value.(record).incarnation
	}
	return i
}

// changes reports whether a signal can change a record.
func (s Signal) changes(r record) bool {
	return s.Draining || s.Backoff > 0 || s.Limit.Set || s.LimitUnreadable || r.limit.Set || r.limitUnread
}

// Observation is what a signal says that earlier ones did not.
type Observation struct {
	// Changed is set where the signal changed the state of its target.
	Changed bool
	// Unreadable is set where the target began to send a limit or a load that can't be parsed.
	Unreadable bool
}

// Observe records the signal of a response that was received at now, and returns what is new in it. A
// backoff never shortens an earlier one.
func (l *Ledger) Observe(now time.Time, i Incarnation, s Signal) Observation {
	out := Observation{
		Unreadable: l.observeLoad(now, i, s),
	}
	if !s.changes(l.record(i)) {
		return out
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// The attempt may have begun before this node received the incarnation that answered.
	i = l.newest(i)
	r := l.record(i)
	before := r.status(now)
	r.incarnation = i
	r.observed = now
	if s.Draining {
		r.draining = true
		r.unsure = false
		r.drainingUntil = time.Time{}
		if !i.Named {
			r.drainingUntil = now.Add(drainingUnsure)
		}
	}
	backoff := min(s.Backoff, MaxBackoff)
	longer := backoff > before.Backoff
	if longer {
		r.backoffFrom = now
		r.backoffUntil = now.Add(backoff)
	}
	out.Unreadable = out.Unreadable || s.LimitUnreadable && !r.limitUnread
	limited := r.observeLimit(now, s)
	l.store(r)
	out.Changed = longer || limited || s.Draining && !before.Draining
	return out
}

// observeLimit records the limit of a response, or that it has none, and reports whether the
// limit changed.
func (r *record) observeLimit(now time.Time, s Signal) bool {
	r.limitUnread = s.LimitUnreadable
	if s.LimitUnreadable || now.Before(r.limitAt) {
		return false
	}
	changed := r.limit != s.Limit
	if s.Limit.Set || !r.limitAt.IsZero() {
		r.limitAt = now
	}
	r.limit = s.Limit
	return changed
}

// ObservePeer records a limit that a peer reported, which the target sent at at. Later responses to this
// node take precedence.
func (l *Ledger) ObservePeer(at time.Time, i Incarnation, limit Limit) {
	if before := l.record(i); !at.After(before.limitAt) || before.limit == limit {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(i)
	if !at.After(r.limitAt) || l.newest(i) != i {
		return
	}
	r.incarnation = i
	if at.After(r.observed) {
		r.observed = at
	}
	r.limit, r.limitAt = limit, at
	l.store(r)
}

// store replaces the record of a target. l.mu is held.
func (l *Ledger) store(r record) {
	if _, old := l.records.Swap(r.incarnation.targetKey(), r); !old && l.count.Add(1) > maxRecords {
		l.dropOldest()
	}
}

// dropOldest drops the tenth of all records that was observed longest ago. l.mu is held.
func (l *Ledger) dropOldest() {
	var all []record
	for _, r := range l.records.Range {
		all = append(all, r.(record))
	}
	slices.SortFunc(all, func(a, b record) int { return a.observed.Compare(b.observed) })
	for _, r := range all[:maxRecords/10] {
		l.drop(r.incarnation.targetKey())
	}
}

// drop removes the record of a target. l.mu is held.
func (l *Ledger) drop(key targetKey) {
	l.records.Delete(key)
	l.count.Add(-1)
}

// Status returns the state of a target at now.
func (l *Ledger) Status(now time.Time, i Incarnation) Status {
	s := l.record(i).status(now)
	s.Load, s.LoadAt = l.load(now, i)
	return s
}

// Empty reports whether there is no record. Reported loads are none.
func (l *Ledger) Empty() bool { return l.count.Load() == 0 }

// Prune removes records without effect, and those of targets that have not been published for
// unlistedRetention. That a limit can't be parsed stays recorded, as it is reported once.
func (l *Ledger) Prune(now time.Time, published func(Incarnation) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pruneLoads(now)
	for _, value := range l.records.Range {
		r := value.(record)
		if !r.status(now).Unavailable() && !r.limit.Set && !r.limitUnread || !published(r.incarnation) && now.Sub(r.observed) >= unlistedRetention {
			l.drop(r.incarnation.targetKey())
		}
	}
}
