// SPDX-License-Identifier: Apache-2.0

package main

import (
	"time"
)

// fault is a scenario. Where it affects one target, that is target 0.
type fault struct {
	name string
	// begin injects the fault.
	begin func(w *world)
	// detected reports whether the fault has been detected; nil if no target should be
	// ejected.
	detected func(w *world) bool
	// sick are the targets whose ejection is correct at every node.
	sick []int
	// cut returns the nodes that are cut off from target 0 and whose ejections of it are
	// correct.
	cut func(w *world) []int
}

// detectedShare is the share of nodes that must have ejected the target.
const detectedShare = 0.9

func detectedByMost(w *world) bool { return w.ejectedShare(0) >= detectedShare }

func flap(period time.Duration) func(w *world) {
	return func(w *world) {
		t := w.targets[0]
		var toggle func()
		toggle = func() {
			t.stall = !t.stall
			w.at(w.now+period/2, kindFault, nil, toggle)
		}
		toggle()
	}
}

func cutNodes(nodes func(w *world) []int) func(w *world) {
	return func(w *world) {
		for _, n := range nodes(w) {
			w.targets[0].cut[n] = true
		}
	}
}

func detectedByCut(nodes func(w *world) []int) func(w *world) bool {
	return func(w *world) bool {
		for _, n := range nodes(w) {
			if !w.nodes[n].strategy.ejected(0) {
				return false
			}
		}
		return true
	}
}

func firstNode(*world) []int { return []int{0} }

func firstHall(w *world) []int {
	var out []int
	for _, n := range w.nodes {
		if n.hall == 0 {
			out = append(out, n.index)
		}
	}
	return out
}

// allTargets returns a function that applies a change to all targets.
func allTargets(fn func(t *fakeTarget)) func(w *world) {
	return func(w *world) {
		for _, t := range w.targets {
			fn(t)
		}
	}
}

func faults() []fault {
	one := []int{0}
	return []fault{
		{
			name:     "hard stall, probes fine",
			sick:     one,
			detected: detectedByMost,
			begin:    func(w *world) { w.targets[0].stall = true },
		},
		{
			name:     "10 times slow",
			sick:     one,
			detected: detectedByMost,
			begin:    func(w *world) { w.targets[0].slow = 10 },
		},
		{
			name:     "30% errors",
			sick:     one,
			detected: detectedByMost,
			begin:    func(w *world) { w.targets[0].errors = 0.3 },
		},
		{
			name:     "flapping, period 4 s",
			sick:     one,
			detected: detectedByMost,
			begin:    flap(4 * time.Second),
		},
		{
			name:     "flapping, period 20 s",
			sick:     one,
			detected: detectedByMost,
			begin:    flap(20 * time.Second),
		},
		{
			name:     "flapping, period 120 s",
			sick:     one,
			detected: detectedByMost,
			begin:    flap(120 * time.Second),
		},
		{
			name:     "cut from one node",
			cut:      firstNode,
			detected: detectedByCut(firstNode),
			begin:    cutNodes(firstNode),
		},
		{
			name:     "cut from one data hall",
			cut:      firstHall,
			detected: detectedByCut(firstHall),
			begin:    cutNodes(firstHall),
		},
		{
			name:  "whole pool 10 times slow",
			begin: allTargets(func(t *fakeTarget) { t.slow = 10 }),
		},
		{
			name:  "overload, half is shed",
			begin: allTargets(func(t *fakeTarget) { t.shed = 0.5 }),
		},
		{
			name:  "cold start, 3 times slow for 10 s",
			begin: coldStart,
		},
	}
}

func coldStart(w *world) {
	t := w.targets[0]
	t.slow = 3
	w.at(w.now+10*time.Second, kindFault, nil, func() { t.slow = 1 })
}
