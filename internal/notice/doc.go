// SPDX-License-Identifier: Apache-2.0

// Package notice keeps what targets say of themselves in their answers: that they leave, or
// that they want no request from this node for a time. It binds the node that heard it,
// whoever chooses targets for it, from the answer on until the target's life or the time is
// over. It says nothing of how well a target works.
//
// The package is pure: it starts no goroutine, opens nothing, logs nothing and takes the time
// as an argument.
package notice
