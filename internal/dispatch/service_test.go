// SPDX-License-Identifier: Apache-2.0

package dispatch_test

import "time"

// serviceModel describes a service and its load.
type serviceModel struct {
	name string
	// halls is the number of targets of each data hall; all data halls have the same load.
	halls []int
	slots int
	// perSecond is the load, work the mean time of an answer of kilobytes.
	perSecond  float64
	work       time.Duration
	kilobytes  int
	repeatable bool
	// period is the time after which a target's state is drawn again: it is failing with probability
	// failingShare, and then loses the share lost of its requests.
	period time.Duration
	lost   float64
	// slow is the share of targets that take slowFactor times as long from slowFrom on; they are
	// impaired and do not count.
	slow float64
	// dispatcherMoves is the time between moves of the dispatcher role to another scheduler, 0 for
	// never.
	dispatcherMoves time.Duration
	// handover is set where the next scheduler gets the state of the one before.
	handover bool
	// reported is set where each request reports what the dispatchers before granted.
	reported bool
	// maxLost is the greatest share of requests that may be lost: that of a choice without regard to
	// coverage, and a tenth of it for chance.
	maxLost float64
	// seeds is the number of simulations.
	seeds uint64
}

// Parameters common to the users' sites.
const (
	// failingShare is the share of the time in which targets fail by themselves, errorShare the
	// share of requests that working targets fail.
	failingShare = 0.3
	errorShare   = 0.012
	// slowFrom is when slow targets become slow, slowFactor the factor of their response times.
	slowFrom   = 19 * time.Second
	slowFactor = 12
)

// services are those of the users' small sites, with the rates of days with failures.
var services = []serviceModel{
	{
		name:      "reservations",
		halls:     []int{6, 5, 5},
		slots:     3,
		perSecond: 63,
		work:      240 * time.Millisecond,
		kilobytes: 1,
		period:    9 * time.Second,
		lost:      0.75,
		maxLost:   0.03,
		seeds:     40,
	},
	{
		name:      "slow",
		halls:     []int{6, 5, 3},
		slots:     3,
		perSecond: 63,
		work:      240 * time.Millisecond,
		kilobytes: 1,
		period:    9 * time.Second,
		lost:      0.75,
		slow:      0.4,
		maxLost:   0.038,
		seeds:     40,
	},
	{
		name:      "receipts",
		halls:     []int{5, 5, 4, 5},
		slots:     4,
		perSecond: 80,
		work:      310 * time.Millisecond,
		kilobytes: 1,
		period:    12 * time.Second,
		lost:      0.9,
		maxLost:   0.028,
		seeds:     40,
	},
	{
		name:       "quotes",
		halls:      []int{4, 3, 2},
		slots:      3,
		perSecond:  26,
		work:       320 * time.Millisecond,
		kilobytes:  1,
		repeatable: true,
		period:     9 * time.Second,
		lost:       0.75,
		maxLost:    0.004,
		seeds:      40,
	},
	{
		name:       "documents",
		halls:      []int{3, 1, 2},
		slots:      3,
		perSecond:  10,
		work:       190 * time.Millisecond,
		kilobytes:  90,
		repeatable: true,
		period:     9 * time.Second,
		lost:       0.75,
		maxLost:    0.022,
		seeds:      40,
	},
	{
		name:       "exports",
		halls:      []int{3, 3, 1, 1},
		slots:      4,
		perSecond:  11,
		work:       190 * time.Millisecond,
		kilobytes:  90,
		repeatable: true,
		period:     12 * time.Second,
		lost:       0.9,
		maxLost:    0.029,
		seeds:      40,
	},
	{
		name:      "large",
		halls:     []int{24, 24, 24, 24},
		slots:     4,
		perSecond: 400,
		work:      310 * time.Millisecond,
		kilobytes: 1,
		period:    12 * time.Second,
		lost:      0.9,
		maxLost:   0.03,
		seeds:     8,
	},
	{
		name:            "moving",
		halls:           []int{6, 5, 5},
		slots:           3,
		perSecond:       63,
		work:            240 * time.Millisecond,
		kilobytes:       1,
		period:          9 * time.Second,
		lost:            0.75,
		dispatcherMoves: 3 * time.Second,
		maxLost:         0.06,
		seeds:           40,
	},
}
