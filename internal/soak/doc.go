// SPDX-License-Identifier: Apache-2.0

// Package soak runs a fleet of real processes under a random series of faults and
// checks its guarantees against what callers and targets observe. A seed determines
// the whole series; how the processes respond differs between runs.
//
// Faults are injected from outside the processes: signals stop, pause, kill and restart
// them, and loopback proxies delay, reset or cut, in one or both directions, the
// connections to the platform, to targets and, in the independent mode, between nodes.
// In some runs all targets reject requests for a time, or workspaces with weights
// compete for slots and one of them exceeds its share. Datagrams between nodes pass no
// proxy and no clock is changed, as the processes have no hooks for either.
package soak
