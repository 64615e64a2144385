// SPDX-License-Identifier: Apache-2.0

package signal

import "time"

// loadRetention is how long a reported load is kept: long after it has lost its effect, so that an
// operator sees the last one.
const loadRetention = time.Minute

// loadRecord is the newest load that an incarnation reported.
type loadRecord struct {
	incarnation Incarnation
	load        Load
	at          time.Time
	// observed is when the target last sent a load, also one that can't be parsed.
	observed time.Time
	// unread is set while the target sends a load that can't be parsed.
	unread bool
}

// observeLoad records the load in a response, and reports whether the target began to send loads that
// can't be parsed. A response to an attempt at an earlier incarnation may come from either, and counts
// for none.
func (l *Ledger) observeLoad(now time.Time, i Incarnation, s Signal) bool {
	if !s.Load.Reported() && !s.LoadUnreadable {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var r loadRecord
	value, known := l.loads.Load(i.targetKey())
	if known {
		r = value.(loadRecord)
	}
	if r.incarnation.Key != i.Key {
		if r.incarnation.Born.After(i.Born) {
			return false
		}
		r = loadRecord{
			incarnation: i,
		}
	}
	unreadable := s.LoadUnreadable && !r.unread
	r.unread = s.LoadUnreadable
	if now.After(r.observed) {
		r.observed = now
	}
	if !s.LoadUnreadable && !now.Before(r.at) {
		r.load, r.at = s.Load, now
	}
	if !known {
		if l.loadCount.Load() >= maxRecords && now.Sub(l.loadsPruned) >= loadRetention {
			l.pruneLoads(now)
		}
		if l.loadCount.Load() >= maxRecords {
			return unreadable
		}
		l.loadCount.Add(1)
	}
	l.loads.Store(i.targetKey(), r)
	return unreadable
}

// load returns the newest load of an incarnation and the time of its response, if it is kept still.
func (l *Ledger) load(now time.Time, i Incarnation) (Load, time.Time) {
	if l.loadCount.Load() == 0 {
		return Load{}, time.Time{}
	}
	value, ok := l.loads.Load(i.targetKey())
	if !ok {
		return Load{}, time.Time{}
	}
	r := value.(loadRecord)
	if r.incarnation.Key != i.Key || now.Sub(r.at) >= loadRetention {
		return Load{}, time.Time{}
	}
	return r.load, r.at
}

// pruneLoads drops the records of targets that have sent no load for loadRetention. Were those without a
// readable load dropped before, each of them would be reported again after each change of the
// configuration. l.mu is held.
func (l *Ledger) pruneLoads(now time.Time) {
	l.loadsPruned = now
	for key, value := range l.loads.Range {
		if now.Sub(value.(loadRecord).observed) >= loadRetention {
			l.loads.Delete(key)
			l.loadCount.Add(-1)
		}
	}
}
