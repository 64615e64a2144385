// SPDX-License-Identifier: Apache-2.0

// Package signal keeps what targets say of themselves in responses: that they are draining, that
// they want no request from this node for a time (backoff), or how many requests they accept from
// the whole fleet (limit). A signal binds the node that received it, whichever node chooses its
// targets. It says nothing of how well a target works.
//
// The package is pure: it starts no goroutine, opens nothing, logs nothing and takes the time
// as an argument.
package signal
