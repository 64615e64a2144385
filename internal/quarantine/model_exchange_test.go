// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"time"

	"ploverjunction.example/ploverjunction/internal/quarantine"
)

// This file simulates the exchange of records between the nodes of the model.

// recordCrash records on the attempt's node that a target crashed under its request.
func (m *model) recordCrash(t *modelAttempt, incarnation string) {
	n := m.nodes[t.node]
	for _, p := range t.request.prints.All() {
		if m.strategy.keepsAnswers && n.answers.Recent(m.now, p) {
			continue
		}
		m.share(n.ledger.RecordCrash(m.now, p, incarnation))
	}
}

// recordAnswer records on the attempt's node that its request was answered.
func (m *model) recordAnswer(t *modelAttempt) {
	n := m.nodes[t.node]
	n.answers.Record(m.now, t.request.prints)
	for _, p := range t.request.prints.All() {
		m.share(n.ledger.RecordAnswer(p))
	}
}

// share sends changed records to all nodes if they are shared, else to the two nodes that merge
// the records of the request.
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
		first := int(r.Fingerprint[0]) % len(m.nodes)
		m.deliver(first, r)
		m.deliver((first+1)%len(m.nodes), r)
	}
}

// deliver sends a record to a node.
func (m *model) deliver(to int, r quarantine.Record) {
	delay := m.spread(2 * oneWay)
	if m.random.Float64() < lossRate {
		delay += time.Duration(m.random.Float64() * float64(resendDelay))
	}
	m.after(delay, func() {
		n := m.nodes[to]
		records := n.ledger.Merge(m.now, r)
		if m.strategy.keepsAnswers && len(records) > 0 && n.answers.Recent(m.now, r.Fingerprint) {
			m.share(n.ledger.RecordAnswer(r.Fingerprint))
			return
		}
		// A node that merges records sends them to all once they are shared.
		for _, changed := range records {
			if changed.Shared() && !r.Shared() {
				m.share([]quarantine.Record{changed})
			}
		}
	})
}
