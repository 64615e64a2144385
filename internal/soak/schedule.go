// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what a step does.
type Kind string

// Kinds of steps. Those of a node, a target or a proxy act on the one with the
// step's index.
const (
	// KindStop sends SIGTERM and starts a new process after the old one's end;
	// KindKill does the same with SIGKILL, KindPause stops and continues it.
	KindStop  Kind = "stop"
	KindKill  Kind = "kill"
	KindPause Kind = "pause"
	// KindPeersCut and KindPeersDeaf act before a node's port for peers.
	KindPeersCut  Kind = "peers cut"
	KindPeersDeaf Kind = "peers deaf"
	// The next ones act between all nodes and the platform, or on it.
	KindPlatformCut   Kind = "platform cut"
	KindPlatformDeaf  Kind = "platform deaf"
	KindPlatformSlow  Kind = "platform slow"
	KindPlatformReset Kind = "platform reset"
	KindPlatformDown  Kind = "platform down"
	// KindPlatformRestore has the platform come back from a copy made at the step's begin.
	KindPlatformRestore Kind = "platform restored"
	// KindPublish publishes one more route, KindLeave says that a target leaves.
	KindPublish Kind = "publish"
	KindLeave   Kind = "leave"
	// The next ones act between all nodes and a target, or on it.
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
	// The next ones are of keyed plans. KindKeys takes a key away and gives out another one,
	// KindReborn says that a target has begun a new life under its ID.
	KindKeys   Kind = "keys change"
	KindReborn Kind = "target starts again"
	// The next ones are of plans in which targets say something of themselves in their
	// answers. KindSaysLeaving lasts until the end, though the target is published as staying.
	KindSaysLeaving Kind = "target says it leaves"
	KindWantsRest   Kind = "target wants rest"
	// KindNamesLimit has a target name a limit for the whole fleet.
	KindNamesLimit Kind = "target names a limit"
)

// kinds are all kinds, those that act on processes more than once: they are drawn
// more often.
var kinds = []Kind{
	KindStop, KindStop, KindStop, KindKill, KindKill, KindPause, KindPause,
	KindPeersCut, KindPeersDeaf,
	KindPlatformCut, KindPlatformDeaf, KindPlatformSlow, KindPlatformReset, KindPlatformDown,
	KindPublish, KindPublish, KindPublish, KindLeave,
	KindTargetCut, KindTargetDeaf, KindTargetSlow, KindTargetReset, KindTargetStall,
	KindTargetErrors, KindTargetSheds, KindTargetAborts, KindTargetShort, KindTargetSwaps,
}

// Step is one fault or change.
type Step struct {
	At    time.Duration
	For   time.Duration
	Kind  Kind
	Index int
}

// Plan is a series of steps for a fleet.
type Plan struct {
	Seed  uint64
	Joint bool
	// Keyed is set where callers show keys of their workspaces.
	Keyed bool
	// Harmful is set where a request comes again and again that ends each target.
	Harmful bool
	// Saying is set where targets say in their answers that they leave or want rest.
	Saying bool
	// Limiting is set where targets name limits.
	Limiting bool
	// Restoring is set where the platform is restored from copies.
	Restoring bool
	Nodes     int
	Targets   int
	Steps     []Step
}

// Times and sizes of plans.
const (
	// faultTime is the time in which steps begin: two rolling restarts of a small
	// fleet fit into it.
	faultTime = 8 * time.Second
	// stepLeast and stepMost bound how long a fault lasts: both shorter and longer
	// than the second in which nodes find each other dead.
	stepLeast = 200 * time.Millisecond
	stepMost  = 2500 * time.Millisecond
	// stepsLeast and stepsMost bound the steps of each node of the fleet.
	stepsLeast = 3
	stepsMost  = 6
)

// NewPlan draws the plan of a seed for a number of nodes.
func NewPlan(seed uint64, nodes int) Plan {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	p := Plan{
		Seed:    seed,
		Joint:   rng.IntN(2) == 0,
		Nodes:   nodes,
		Targets: 6,
	}
	steps := nodes * (stepsLeast + rng.IntN(stepsMost-stepsLeast+1))
	for range steps {
		s := Step{
			At:   time.Duration(rng.Int64N(int64(faultTime))),
			For:  stepLeast + time.Duration(rng.Int64N(int64(stepMost-stepLeast))),
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
	p.addSaying()
	p.addLimits()
	p.addRestores()
	// From a source of its own, so that the other steps of a seed stay what they are.
	p.Harmful = rand.New(rand.NewPCG(seed, 0x4a21)).IntN(2) == 0
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return int(a.At - b.At) })
	return p
}

// keyedSteps is how many steps a keyed plan has besides the others.
const keyedSteps = 6

// addKeyed makes half of the plans keyed ones. It draws from a source of its own, so that
// the other steps of a seed stay what they are.
func (p *Plan) addKeyed() {
	rng := rand.New(rand.NewPCG(p.Seed, 0x6e79))
	p.Keyed = rng.IntN(2) == 0
	if !p.Keyed {
		return
	}
	for range keyedSteps {
		kind := KindKeys
		if rng.IntN(2) == 0 {
			kind = KindReborn
		}
		p.Steps = append(p.Steps, Step{
			At:    time.Duration(rng.Int64N(int64(faultTime))),
			Kind:  kind,
			Index: rng.IntN(p.Targets),
		})
	}
}
