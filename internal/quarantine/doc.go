// SPDX-License-Identifier: Apache-2.0

// Package quarantine refuses requests that crash the targets that run them.
//
// The crash of a target doesn't show its cause: any request that the target was working on may
// have caused it. The harmful one differs in that it is repeated and crashes targets again,
// while the others are answered. So nodes record under which requests targets crashed, and
// which requests were answered; a request under which three targets crashed, with no answer
// since, is refused by all nodes for a time that grows with each further crash.
//
// The package is pure: it starts no goroutine, opens nothing, logs nothing and takes the
// time as an argument.
package quarantine
