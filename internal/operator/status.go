// SPDX-License-Identifier: Apache-2.0

package operator

// Status is what a node says of itself. Field names are stable.
type Status struct {
	Node     string `json:"node"`
	DataHall string `json:"data_hall"`
	Ready    bool   `json:"ready"`
	Reason   string `json:"reason,omitempty"`
	UpFor    string `json:"up_for"`
	InFlight int64  `json:"in_flight"`
	// HeldRequests and HeldAnswers are the bytes of bodies that are held at most.
	HeldRequests int64           `json:"held_request_bytes"`
	HeldAnswers  int64           `json:"held_answer_bytes"`
	Config       ConfigStatus    `json:"config"`
	Members      []MemberStatus  `json:"members"`
	Services     []ServiceStatus `json:"services"`
	Limits       []LimitStatus   `json:"limits"`
	// Quarantine are requests under which targets ended, the latest first.
	Quarantine []QuarantineStatus `json:"quarantine"`
	// Signals is what targets said of themselves in answers to this node and holds now.
	Signals []SignalStatus `json:"notices"`
	// TargetLimits are targets that limit what they get from the whole fleet, as this node
	// knows them.
	TargetLimits []TargetLimitStatus `json:"target_limits"`
	Control      ControlStatus       `json:"control"`
	Revision     map[string]uint64   `json:"revisions"`
}

// ConfigStatus describes the configuration in force.
type ConfigStatus struct {
	// Era counts how often the platform was restored from a copy. Revisions of different
	// eras are not related.
	Era uint64 `json:"era"`
	// Ahead are keys whose values the platform lost when it was restored: they hold until
	// they are written again.
	Ahead      []string `json:"ahead,omitempty"`
	Revision   uint64   `json:"revision"`
	Services   int      `json:"services"`
	Routes     int      `json:"routes"`
	Workspaces int      `json:"workspaces"`
	// Evacuated are the data halls whose targets get no new requests.
	Evacuated []string        `json:"evacuated,omitempty"`
	Refused   []RefusedStatus `json:"refused,omitempty"`
	// PlatformAgeMS is how long ago any known node heard the platform, in
	// milliseconds; -1 means never.
	PlatformAgeMS int64 `json:"platform_age_ms"`
}

// RefusedStatus is a published value that is not in force.
type RefusedStatus struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
}

// MemberStatus is one known node.
type MemberStatus struct {
	Address  string `json:"address"`
	DataHall string `json:"data_hall"`
	Live     bool   `json:"live"`
}

// ServiceStatus is one service as this node sees it.
type ServiceStatus struct {
	Name     string         `json:"name"`
	Capacity float64        `json:"capacity"`
	Serving  float64        `json:"serving"`
	Floor    float64        `json:"floor"`
	Kept     int            `json:"kept_by_floor"`
	Used     int            `json:"used_targets"`
	Targets  []TargetStatus `json:"targets"`
}

// TargetStatus is one target as this node sees it.
type TargetStatus struct {
	Address  string  `json:"address"`
	Phase    string  `json:"phase"`
	Leaving  bool    `json:"leaving"`
	Score    float64 `json:"score"`
	Warmth   float64 `json:"warmth"`
	InFlight int     `json:"in_flight"`
	Used     bool    `json:"used"`
}

// ControlStatus counts the work between nodes and towards the platform since
// the start.
type ControlStatus struct {
	BytesSent     int64 `json:"bytes_sent"`
	BytesReceived int64 `json:"bytes_received"`
	Calls         int64 `json:"calls"`
	PlatformCalls int64 `json:"platform_calls"`
}

// LimitStatus is the limit of one workspace as this node has it.
type LimitStatus struct {
	Workspace string `json:"workspace"`
	// Rate and Burst are the limit of the whole fleet, in requests a second and at once.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Asked is how many requests a second come to this node, Reserve how many it may admit
	// without asking.
	Asked   float64 `json:"asked"`
	Reserve int     `json:"reserve"`
	// Allocator is the node that has the workspace's bucket. Tokens are those left in it,
	// Kept the part of the rate that is kept back for nodes out of reach, by what it said
	// AgeMS milliseconds ago; -1 means never.
	Allocator string  `json:"allocator"`
	Tokens    float64 `json:"tokens"`
	Kept      float64 `json:"kept"`
	AgeMS     int64   `json:"age_ms"`
}

// QuarantineStatus is a request under which targets ended.
type QuarantineStatus struct {
	// Fingerprint names what is asked for, or what one caller asks for, as in the logs.
	Fingerprint string `json:"fingerprint"`
	// Ends is how many targets ended since the request was last answered, AgeMS how long ago
	// the last one did.
	Ends  int   `json:"ends"`
	AgeMS int64 `json:"age_ms"`
	// WaitMS is for how long this node refuses the request; 0 means that it may run.
	WaitMS int64 `json:"wait_ms"`
}

// SignalStatus is a target that gets no requests from this node because it said so.
type SignalStatus struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Leaving is set where the target said that it leaves, RestMS is how much longer it
	// wants nothing from this node.
	Leaving bool  `json:"leaving"`
	RestMS  int64 `json:"rest_ms"`
}

// TargetLimitStatus is a target with a limit for the whole fleet.
type TargetLimitStatus struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Rate is in requests a second. The target answered so to the node By, AgeMS
	// milliseconds ago.
	Rate  float64 `json:"rate"`
	By    string  `json:"by"`
	AgeMS int64   `json:"age_ms"`
	// Dispatcher is set where this node grants the target; Granted is how often it did in the
	// last 4 s.
	Dispatcher bool `json:"dispatcher"`
	Granted    int  `json:"granted"`
}

// Question asks where a request would go.
type Question struct {
	Host   string
	Path   string
	Method string
}

// Explanation says where a request would go and why.
type Explanation struct {
	// Match is "route", "method" if the path is known but not for the method,
	// or "none".
	Match      string         `json:"match"`
	Route      string         `json:"route,omitempty"`
	Class      string         `json:"class,omitempty"`
	Repeatable bool           `json:"repeatable"`
	Deadline   string         `json:"deadline,omitempty"`
	Service    *ServiceStatus `json:"service,omitempty"`
}
