// SPDX-License-Identifier: Apache-2.0

package inbound

import "time"

// Reason is why a connection was closed for a limit. The set is fixed: reasons are labels of metrics.
type Reason string

// Reasons.
const (
	// ReasonConnections means that there were more connections than allowed.
	ReasonConnections Reason = "connections"
	// ReasonMemory means that there was no memory for what the connection sent.
	ReasonMemory Reason = "memory"
	// ReasonSize means that a request's header was larger than allowed.
	ReasonSize Reason = "size"
	// ReasonSlow means that a request took longer to arrive than allowed.
	ReasonSlow Reason = "slow"
	// ReasonIdle means that the connection was idle for longer than allowed.
	ReasonIdle Reason = "idle"
)

// Closed describes a connection that was closed for a limit.
type Closed struct {
	// Door names the listener.
	Door   string
	Reason Reason
	Remote string
	// Age is how long the connection had been in its state: receiving a request, or idle.
	Age time.Duration
	// Held is the memory in bytes that was reserved for it.
	Held int64
	// Open is the number of connections of the listener, this one included.
	Open int
}
