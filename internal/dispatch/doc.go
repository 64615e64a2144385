// SPDX-License-Identifier: Apache-2.0

// Package dispatch chooses the target of each attempt for one service. One node
// does so for the whole fleet, as long as the others reach it: it sees every
// request of the service, so that it can give each one a free slot, take a single
// failure as evidence at once, and hold the retry budget. A node that reaches no
// dispatcher uses a desk of its own, which knows less and grants without a queue.
//
// How likely a target is to fail comes from package health; here stands what a failure,
// a wait, bytes between data halls and a repeat cost, and what follows from that.
//
// The package is pure: it starts no goroutine, opens nothing, logs nothing and
// takes the time as an argument. Randomness comes from a source handed in.
package dispatch
