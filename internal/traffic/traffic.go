// SPDX-License-Identifier: Apache-2.0

// Package traffic counts bytes by purpose and by whether they leave the data hall.
package traffic

import "sync/atomic"

// Purpose is what bytes are for. The set is fixed: purposes are labels of metrics.
type Purpose uint8

// Purposes.
const (
	// Other has bytes that can't be assigned, such as TLS handshakes of accepted connections.
	Other Purpose = iota
	// GrantRequests, Grants, Dones and Confirmations are datagrams of the joint choice of targets,
	// without the state that is piggybacked on them.
	GrantRequests
	Grants
	Dones
	Confirmations
	// Probes are pings of members and their answers.
	Probes
	// Announcements notify peers of new values.
	Announcements
	// Limits are token requests of workspaces and their answers.
	Limits
	// Quarantine has records of requests that crash targets.
	Quarantine
	// State is what is piggybacked on datagrams: digests, read position, news of members.
	State
	// ConfigPulls, ConfigPushes and ConfigComparisons are exchanges of published values.
	ConfigPulls
	ConfigPushes
	ConfigComparisons
	// Evidence has reports to observers and their decisions.
	Evidence
	// Handovers have the state that a dispatcher sends to the next one.
	Handovers
	// ForwardedRequests are requests for which a peer makes the attempts, and their answers.
	ForwardedRequests
	// TargetRequests are bytes sent to targets, TargetResponses those received from them.
	TargetRequests
	TargetResponses
	purposes
)

var purposeNames = [purposes]string{
	Other:             "other",
	GrantRequests:     "grant_requests",
	Grants:            "grants",
	Dones:             "dones",
	Confirmations:     "confirmations",
	Probes:            "probes",
	Announcements:     "announcements",
	Limits:            "limits",
	Quarantine:        "quarantine",
	State:             "state",
	ConfigPulls:       "config_pulls",
	ConfigPushes:      "config_pushes",
	ConfigComparisons: "config_comparisons",
	Evidence:          "evidence",
	Handovers:         "handovers",
	ForwardedRequests: "forwarded_requests",
	TargetRequests:    "target_requests",
	TargetResponses:   "target_responses",
}

// String returns the purpose as a label.
func (p Purpose) String() string { return purposeNames[p] }

// Scope is whether bytes stay within the data hall.
type Scope uint8

// Scopes.
const (
	// Unknown is the scope of bytes to a node or target whose data hall is not known.
	Unknown Scope = iota
	Within
	Between
	scopes
)

var scopeNames = [scopes]string{
	Unknown: "unknown",
	Within:  "within",
	Between: "between",
}

// String returns the scope as a label.
func (s Scope) String() string { return scopeNames[s] }

// ScopeOf returns the scope of bytes between two data halls; an empty one is unknown.
func ScopeOf(a, b string) Scope {
	switch {
	case a == "" || b == "":
		return Unknown
	case a == b:
		return Within
	default:
		return Between
	}
}

// Bytes counts bytes by purpose and scope. Its zero value is ready for use; it may be used
// concurrently.
type Bytes struct {
	counts [purposes][scopes]atomic.Int64
}

// Add counts n bytes; a negative n is ignored.
func (b *Bytes) Add(p Purpose, s Scope, n int) {
	if n > 0 {
		b.counts[p][s].Add(int64(n))
	}
}

// Count returns the bytes of a purpose and a scope.
func (b *Bytes) Count(p Purpose, s Scope) int64 { return b.counts[p][s].Load() }

// Each calls fn with each purpose and scope that has bytes, in a fixed order.
func (b *Bytes) Each(fn func(p Purpose, s Scope, n int64)) {
	for p := range purposes {
		for s := range scopes {
			if n := b.Count(p, s); n > 0 {
				fn(p, s, n)
			}
		}
	}
}
