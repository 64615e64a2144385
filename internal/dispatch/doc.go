// SPDX-License-Identifier: Apache-2.0

// Package dispatch chooses the target of each attempt for one service. One node, the dispatcher,
// does so for the whole fleet while the others reach it. It sees every request of the service, so
// that it can grant each one a free slot, use a single failure as evidence at once, and hold the
// retry budget. A node that reaches no dispatcher uses a scheduler of its own, which has less
// information and grants without a queue.
//
// Package health estimates how likely a target is to fail. This package defines the cost of a
// failure, a wait, bytes between data halls and a retry, and chooses by it.
//
// The package is pure: it starts no goroutine, does no I/O, does not log and takes the time as an
// argument. Randomness comes from a source passed in.
package dispatch
