// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/quarantine"
)

// This file is what the nodes of the model tell each other.

// recordCrash has a node note that a target ended under a request.
func (m *model) recordCrash(t *modelAttempt, life string) {
	n := m.nodes[t.node]
	for _, p := range t.request.prints.All() {
		if m.strategy.keepsAnswers && n.answers.Lately(m.now, p) {
			continue
		}
		m.share(n.ledger.Ended(m.now, p, life))
	}
}

// recordAnswer is a request that was answered.
func (m *model) recordAnswer(t *modelAttempt) {
	n := m.nodes[t.node]
	n.answers.Note(m.now, t.request.prints)
	for _, p := range t.request.prints.All() {
		m.share(n.ledger.Answered(p))
	}
}

// share takes records that changed to whom they concern: to all nodes if they are shared,
// else to the two that add up what is known of the request.
func (m *model) share(records []quarantine.Record) {
	if !m.strategy.sharesRecords {
		return
	}
	for _, r := range records {
		if r.Shared() {
			for i := range m.nodes {
				m.deliver(i, r)
			}
			continue
		}
		first := int(r.Print[0]) % len(m.nodes)
		m.deliver(first, r)
		m.deliver((first+1)%len(m.nodes), r)
	}
}

// deliver takes a record to a node.
func (m *model) deliver(to int, r quarantine.Record) {
	way := m.spread(2 * oneWay)
	if m.random.Float64() < lossRate {
		way += time.Duration(m.random.Float64() * float64(resendDelay))
	}
	m.after(way, func() {
		n := m.nodes[to]
		news := n.ledger.Learn(m.now, r)
		if m.strategy.keepsAnswers && len(news) > 0 && n.answers.Lately(m.now, r.Print) {
			m.share(n.ledger.Answered(r.Print))
			return
		}
		// Who adds up tells all when that makes a record one for all.
		for _, changed := range news {
			if changed.Shared() && !r.Shared() {
				m.share([]quarantine.Record{changed})
			}
		}
	})
}
