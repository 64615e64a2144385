// SPDX-License-Identifier: Apache-2.0

package node

import (
	"io"
	"time"

	"ploverjunction.example/ploverjunction/internal/logging"
	"ploverjunction.example/ploverjunction/internal/membership"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Reporter is the part of a node that reports evidence, without a network.
type Reporter struct {
	observing *observing
}

// NewReporter returns the reporter of a node that knows others.
func NewReporter(self membership.Node, others []membership.Node) *Reporter {
	board := &Board{}
	table := membership.NewTable(self)
	table.List(others, nil)
	board.view.Store(table.View(time.Now()))
	log := logging.Part(logging.New(io.Discard, "error", "text"), "observing")
	return &Reporter{
		observing: newObserving(board, peerLink{}, nil, log),
	}
}

// Collect takes the evidence of one beat.
func (r *Reporter) Collect(now time.Time, evidence []outlier.Evidence) {
	r.observing.collect(now, evidence)
}

// Due returns the reports that should go out at now, by observer.
func (r *Reporter) Due(now time.Time) map[string][]*wire.Report {
	return r.observing.due(now)
}
