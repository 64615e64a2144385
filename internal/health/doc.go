// SPDX-License-Identifier: Apache-2.0

// Package health estimates the probability that a target of a service fails the
// next request. A target is modeled as a two-state Markov channel (Gilbert, Bell
// System Technical Journal 1960): while working it answers nearly all requests,
// while failing it returns errors or does not answer. The transition rates and the
// kinds of results in either state are learned from the attempts of the service,
// the latency of answers from those of each route.
//
// The package starts no goroutines, does no I/O, logs nothing and takes the time as
// an argument. Nothing in it is safe for concurrent use.
package health
