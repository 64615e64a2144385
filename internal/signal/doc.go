// SPDX-License-Identifier: Apache-2.0

// Package signal keeps what targets report about themselves in responses: that they are draining,
// that this node shall send no request for a time (backoff), or how many requests they accept from
// the whole fleet (limit), or what they have in hand (load). A signal binds the node that received it, whichever node chooses its
// targets. It says nothing about the health of a target.
//
// The package is pure: it starts no goroutine, opens nothing, logs nothing and takes the time
// as an argument.
package signal
