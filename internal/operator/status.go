// SPDX-License-Identifier: Apache-2.0

package operator

// Status is the state of a node. Its JSON field names are stable.
type Status struct {
	Node     string `json:"node"`
	DataHall string `json:"data_hall"`
	Ready    bool   `json:"ready"`
	Reason   string `json:"reason,omitempty"`
	UpFor    string `json:"up_for"`
	InFlight int64  `json:"in_flight"`
	// HeldRequests and HeldAnswers bound the bytes of buffered bodies.
	HeldRequests int64           `json:"held_request_bytes"`
	HeldAnswers  int64           `json:"held_answer_bytes"`
	Config       ConfigStatus    `json:"config"`
	Members      []MemberStatus  `json:"members"`
	Services     []ServiceStatus `json:"services"`
	Limits       []LimitStatus   `json:"limits"`
	// Quarantine lists the requests under which targets crashed, the latest first.
	Quarantine []QuarantineStatus `json:"quarantine"`
	// Signals lists the signals of targets in answers to this node that are in effect.
	Signals []SignalStatus `json:"notices"`
	// TargetLimits lists the targets that limit the requests of the whole fleet, as
	// received by this node.
	TargetLimits []TargetLimitStatus `json:"target_limits"`
	// TargetLoads lists the targets that reported their load in answers to this node, or to others
	// where it is the dispatcher.
	TargetLoads []TargetLoadStatus `json:"target_loads,omitempty"`
	Control     ControlStatus      `json:"control"`
	// Traffic lists the bytes by purpose and scope, Connections the new connections to targets by
	// cause, since the start. What is 0 is omitted.
	Traffic     []TrafficStatus     `json:"traffic"`
	Connections []ConnectionsStatus `json:"connections"`
	Revisions   map[string]uint64   `json:"revisions"`
}

// ConfigStatus describes the configuration in force.
type ConfigStatus struct {
	// Era counts how often the platform was restored from a backup. Revisions of different
	// eras can't be compared.
	Era uint64 `json:"era"`
	// Ahead are the keys whose values the platform lost when it was restored: the values
	// stay in force until they are written again.
	Ahead      []string `json:"ahead,omitempty"`
	Revision   uint64   `json:"revision"`
	Services   int      `json:"services"`
	Routes     int      `json:"routes"`
	Workspaces int      `json:"workspaces"`
	// Evacuated are the data halls whose targets receive no new requests.
	Evacuated []string        `json:"evacuated,omitempty"`
	Refused   []RefusedStatus `json:"refused,omitempty"`
	// PlatformAgeMS is how many milliseconds ago any known node last received an answer of
	// the platform; -1 means never.
	PlatformAgeMS int64 `json:"platform_age_ms"`
}

// RefusedStatus is a published value that is not in force.
type RefusedStatus struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
}

// MemberStatus is one node in the membership list.
type MemberStatus struct {
	Address  string `json:"address"`
	DataHall string `json:"data_hall"`
	Live     bool   `json:"live"`
}

// ServiceStatus is one service as this node sees it.
type ServiceStatus struct {
	Name        string         `json:"name"`
	Capacity    float64        `json:"capacity"`
	Serving     float64        `json:"serving"`
	Floor       float64        `json:"floor"`
	KeptByFloor int            `json:"kept_by_floor"`
	Used        int            `json:"used_targets"`
	Targets     []TargetStatus `json:"targets"`
}

// TargetStatus is one target as this node sees it.
type TargetStatus struct {
	Address  string  `json:"address"`
	Phase    string  `json:"phase"`
	Draining bool    `json:"leaving"`
	Score    float64 `json:"score"`
	Warmth   float64 `json:"warmth"`
	InFlight int     `json:"in_flight"`
	Used     bool    `json:"used"`
}

// ControlStatus counts the traffic to other nodes and calls to the platform since the
// start.
type ControlStatus struct {
	BytesSent     int64 `json:"bytes_sent"`
	BytesReceived int64 `json:"bytes_received"`
	Calls         int64 `json:"calls"`
	PlatformCalls int64 `json:"platform_calls"`
}

// TrafficStatus is the number of bytes for one purpose within the data hall, between data halls, or
// to an unknown one.
type TrafficStatus struct {
	Purpose string `json:"purpose"`
	Scope   string `json:"scope"`
	Bytes   int64  `json:"bytes"`
}

// ConnectionsStatus is the number of connections to targets that were opened for one cause.
type ConnectionsStatus struct {
	Cause string `json:"cause"`
	Count int64  `json:"count"`
}

// LimitStatus is the limit of one workspace as this node sees it.
type LimitStatus struct {
	Workspace string `json:"workspace"`
	// Rate and Burst are the limit of the whole fleet, in requests per second and at once.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// RequestRate is how many requests per second arrive at this node, Reserve how many it may
	// admit without a token request.
	RequestRate float64 `json:"asked"`
	Reserve     int     `json:"reserve"`
	// Allocator is the node that holds the workspace's bucket. Tokens are those left in it,
	// Kept the share of the rate withheld for unreachable nodes, as it reported AgeMS
	// milliseconds ago; -1 means never.
	Allocator string  `json:"allocator"`
	Tokens    float64 `json:"tokens"`
	Withheld  float64 `json:"kept"`
	AgeMS     int64   `json:"age_ms"`
}

// QuarantineStatus is a request under which targets crashed.
type QuarantineStatus struct {
	// Fingerprint identifies the request content, or that of one caller, as in the logs.
	Fingerprint string `json:"fingerprint"`
	// Crashes is how many targets crashed since the request was last answered, AgeMS how many
	// milliseconds ago the last one did.
	Crashes int   `json:"ends"`
	AgeMS   int64 `json:"age_ms"`
	// WaitMS is for how many milliseconds this node refuses the request; 0 means that it may run.
	WaitMS int64 `json:"wait_ms"`
}

// SignalStatus is a target that receives no requests from this node because of its own signal.
type SignalStatus struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Draining is set if the target is draining; BackoffMS is the remaining backoff of this
	// node in milliseconds.
	Draining  bool  `json:"leaving"`
	BackoffMS int64 `json:"rest_ms"`
}

// TargetLimitStatus is a target with a limit for the whole fleet.
type TargetLimitStatus struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Rate is in requests per second. The node By received it from the target AgeMS
	// milliseconds ago.
	Rate  float64 `json:"rate"`
	By    string  `json:"by"`
	AgeMS int64   `json:"age_ms"`
	// Dispatcher is set if this node grants the target; Granted is how often it did in the
	// last 4 s.
	Dispatcher bool `json:"dispatcher"`
	Granted    int  `json:"granted"`
}

// TargetLoadStatus is the newest load that a target reported.
type TargetLoadStatus struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Running and Waiting are requests, Slots how many the target runs at once, as it reported
	// AgeMS milliseconds ago.
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Slots   int   `json:"slots"`
	AgeMS   int64 `json:"age_ms"`
	// Dispatcher is set if this node grants the target. InFlight are then the attempts that it granted
	// and that have not ended, Foreign the slots that it leaves to the work of others.
	Dispatcher bool `json:"dispatcher"`
	InFlight   int  `json:"in_flight"`
	Foreign    int  `json:"foreign"`
}

// ExplainRequest describes a request to explain.
type ExplainRequest struct {
	Host   string
	Path   string
	Method string
}

// Explanation describes where a request would be routed and why.
type Explanation struct {
	// Match is "route", "method" if routes match the path but not the method, or "none".
	Match      string         `json:"match"`
	Route      string         `json:"route,omitempty"`
	Class      string         `json:"class,omitempty"`
	Repeatable bool           `json:"repeatable"`
	Deadline   string         `json:"deadline,omitempty"`
	Service    *ServiceStatus `json:"service,omitempty"`
}
