// SPDX-License-Identifier: Apache-2.0

// Package soak runs a fleet of real processes under a random series of faults and
// checks its promises from what callers and targets see. A seed gives the whole
// series; what the processes do with it differs between runs.
//
// Faults come from outside the processes: signals that stop, pause, kill and
// restart them, and loopback proxies that delay, reset, silence or cut one way the
// connections to the platform, to targets and, where nodes choose alone, between
// nodes. Datagrams between nodes pass no proxy, and no clock is changed: the
// processes have no seam for it.
package soak
