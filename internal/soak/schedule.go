// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a step.
type Kind string

// Kinds of steps. Steps on a node, a target or a proxy act on the one with the
// step's index.
const (
	// KindStop sends SIGTERM and starts a new process after the old one has exited.
	// KindKill does the same with SIGKILL. KindPause stops and continues the process.
	KindStop  Kind = "stop"
	KindKill  Kind = "kill"
	KindPause Kind = "pause"
	// KindPeersCut and KindPeersDeaf act on connections to a node's port for peers.
	KindPeersCut  Kind = "peers cut"
	KindPeersDeaf Kind = "peers deaf"
	// The following kinds act on the platform or on the links of all nodes to it.
	KindPlatformCut   Kind = "platform cut"
	KindPlatformDeaf  Kind = "platform deaf"
	KindPlatformSlow  Kind = "platform slow"
	KindPlatformReset Kind = "platform reset"
	KindPlatformDown  Kind = "platform down"
	// KindPlatformRestore restores the platform from a copy made when the step begins.
	KindPlatformRestore Kind = "platform restored"
	// KindPublish publishes one more route, KindDrain publishes a target as draining.
	KindPublish Kind = "publish"
	KindDrain   Kind = "leave"
	// The following kinds act on a target or on the links of all nodes to it.
	KindTargetCut    Kind = "target cut"
	KindTargetDeaf   Kind = "target deaf"
	KindTargetSlow   Kind = "target slow"
	KindTargetReset  Kind = "target reset"
	KindTargetStall  Kind = "target stalls"
	KindTargetErrors Kind = "target errors"
	KindTargetSheds  Kind = "target sheds"
	KindTargetAborts Kind = "target aborts"
	KindTargetShort  Kind = "target cuts bodies"
	KindTargetSwaps  Kind = "target swaps ids"
	// The following kinds occur in keyed plans. KindKeys revokes a key and issues another one,
	// KindTargetRestart publishes a new incarnation of a target under the same ID.
	KindRotateKeys    Kind = "keys change"
	KindTargetRestart Kind = "target starts again"
	// The following kinds occur in plans in which targets send signals in their answers.
	// KindSignalsDraining lasts until the end of the run or the target's next incarnation; the
	// target is not published as draining.
	KindSignalsDraining Kind = "target says it leaves"
	KindRequestsBackoff Kind = "target wants rest"
	// KindSignalsLimit makes a target signal a limit for the whole fleet.
	KindSignalsLimit Kind = "target names a limit"
	// KindPathsCut acts on the links of a node to all targets.
	KindPathsCut Kind = "paths cut"
	// KindServiceRejects makes all targets reject most requests before they run.
	KindServiceRejects Kind = "service rejects"
	// KindWorkspaceSurges makes a competing workspace send Factor times its usual demand.
	KindWorkspaceSurges Kind = "workspace surges"
)

// kinds are the kinds to draw from in every plan. Those listed more than once are drawn
// more often.
var kinds = []Kind{
	KindStop, KindStop, KindStop, KindKill, KindKill, KindPause, KindPause,
	KindPeersCut, KindPeersDeaf,
	KindPlatformCut, KindPlatformDeaf, KindPlatformSlow, KindPlatformReset, KindPlatformDown,
	KindPublish, KindPublish, KindPublish, KindDrain,
	KindTargetCut, KindTargetDeaf, KindTargetSlow, KindTargetReset, KindTargetStall,
	KindTargetErrors, KindTargetSheds, KindTargetAborts, KindTargetShort, KindTargetSwaps,
}

// Step is one fault or change, with its start, duration, kind and subject.
type Step struct {
	At    time.Duration
	For   time.Duration
	Kind  Kind
	Index int
	// Factor is used by KindWorkspaceSurges only.
	Factor int
}

// Plan is the composition of a fleet and its series of steps.
type Plan struct {
	Seed  uint64
	Joint bool
	// Keyed reports whether callers authenticate with keys of their workspaces.
	Keyed bool
	// Crashing reports whether a request that crashes every target is sent repeatedly.
	Crashing bool
	// Signaling reports whether targets signal in their answers that they drain or back off.
	Signaling bool
	// Limiting reports whether targets signal limits.
	Limiting bool
	// Restoring reports whether the platform is restored from copies.
	Restoring bool
	// Weights are the weights of competing workspaces, none if there are no such workspaces.
	Weights []int
	// CalmSurge is a surge after all steps, with Factor 0 if there is none.
	CalmSurge Step
	Nodes     int
	Targets   int
	Steps     []Step
}

// Durations and sizes of plans.
const (
	// faultTime is the period in which steps begin, long enough for two rolling restarts
	// of a small fleet.
	faultTime = 8 * time.Second
	// minStepTime and maxStepTime bound the duration of a fault, below and above the second
	// in which nodes declare each other dead.
	minStepTime = 200 * time.Millisecond
	maxStepTime = 2500 * time.Millisecond
	// minSteps and maxSteps bound the number of steps per node.
	minSteps = 3
	maxSteps = 6
)

// NewPlan returns the plan that a seed determines for a number of nodes.
func NewPlan(seed uint64, nodes int) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	p := Plan{
		Seed:    seed,
		Joint:   rng.IntN(2) == 0,
		Nodes:   nodes,
		Targets: 6,
	}
	steps := nodes * (minSteps + rng.IntN(maxSteps-minSteps+1))
	for range steps {
		s := Step{
			At:   time.Duration(rng.Int64N(int64(faultTime))),
			For:  minStepTime + time.Duration(rng.Int64N(int64(maxStepTime-minStepTime))),
			Kind: kinds[rng.IntN(len(kinds))],
		}
		switch s.Kind {
		case KindStop, KindKill, KindPause, KindPeersCut, KindPeersDeaf:
			s.Index = rng.IntN(nodes)
		default:
			s.Index = rng.IntN(p.Targets)
		}
		p.Steps = append(p.Steps, s)
	}
	p.addKeyed()
	p.addSignals()
	p.addLimits()
	p.addRestores()
	// A separate random source keeps the other steps of a seed unchanged.
	p.Crashing = rand.New(rand.NewPCG(seed, 0x4a21)).IntN(2) == 0
	p.addPaths()
	p.addRejections()
	p.addCompetition()
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return int(a.At - b.At) })
	return p
}

// keyedSteps is the number of additional steps of a keyed plan.
const keyedSteps = 6

// addKeyed makes half of the plans keyed. It uses a separate random source, so that the
// other steps of a seed do not change.
func (p *Plan) addKeyed() {
	rng := rand.New(rand.NewPCG(p.Seed, 0x6e79))
	p.Keyed = rng.IntN(2) == 0
	if !p.Keyed {
		return
	}
	for range keyedSteps {
		kind := KindRotateKeys
		if rng.IntN(2) == 0 {
			kind = KindTargetRestart
		}
		p.Steps = append(p.Steps, Step{
			At:    time.Duration(rng.Int64N(int64(faultTime))),
			Kind:  kind,
			Index: rng.IntN(p.Targets),
		})
	}
}
