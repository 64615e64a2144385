// SPDX-License-Identifier: Apache-2.0

package settings

import "time"

// Bounds of settings, both included.
const (
	minBody       = 0
	maxBody       = 16 << 30
	minHeader     = 4 << 10
	maxHeader     = 1 << 20
	maxDrainWait  = 10 * time.Minute
	maxDeadline   = 24 * time.Hour
	maxWorkspaces = 10000
	maxSlots      = 1_000_000

	maxDescriptors = 1 << 30
	maxReserve     = 1_000_000
	maxRetryShare  = 10
	maxMemory      = 1 << 44
	minWindow      = 100 * time.Millisecond
)

// field is one key that a settings file may hold.
type field struct {
	section  string
	key      string
	required bool
	// set parses and stores the value, or returns what is wrong with it.
	set func(text string) string
	// fallback stores a safe value in place of a wrong one; nil makes a wrong one an error.
	fallback func()
}

func optional(section, key string, set func(text string) string) field {
	return field{
		section: section,
		key:     key,
		set:     set,
	}
}

func required(section, key string, set func(text string) string) field {
	fd := optional(section, key, set)
	fd.required = true
	return fd
}

// withFallback returns a field whose value the platform fills in, not the author of the
// file: if nodes refused to start because of it, the whole fleet would be down.
func withFallback(section, key string, set func(text string) string, safe func()) field {
	fd := optional(section, key, set)
	fd.fallback = safe
	return fd
}

func (s *Settings) fields() []field {
	return []field{
		required("node", "data_hall", text(&s.dataHall)),
		optional("node", "outgoing", ip(&s.outgoing)),
		withFallback("node", "processors", processors(&s.weight), func() {}),
		optional("node", "regions", pairs(&s.regions)),
		withFallback("node", "descriptors", count(&s.descriptors, 0, maxDescriptors), func() { s.descriptors = 0 }),
		required("entry", "listen", address(&s.entryListen)),
		optional("entry", "max_body", size(&s.maxBody, minBody, maxBody)),
		optional("entry", "max_header", size(&s.maxHeader, minHeader, maxHeader)),
		optional("entry", "hold_body", size(&s.holdBody, 0, maxBody)),
		withFallback("entry", "memory", size(&s.memory, 0, maxMemory), func() {}),
		optional("entry", "deadline", duration(&s.deadline, time.Millisecond, maxDeadline)),
		optional("entry", "stall", duration(&s.stall, 10*time.Millisecond, maxDeadline)),
		optional("entry", "workspace_header", text(&s.workspaceHeader)),
		optional("entry", "drain_wait", duration(&s.drainWait, 0, maxDrainWait)),
		optional("entry", "grace", duration(&s.grace, 0, maxDrainWait)),
		required("operator", "listen", address(&s.operatorListen)),
		optional("peers", "listen", address(&s.peerListen)),
		optional("peers", "advertise", address(&s.advertise)),
		optional("peers", "seeds", addresses(&s.seeds)),
		optional("peers", "certificate", text(&s.peerCert)),
		optional("peers", "key", text(&s.peerKey)),
		optional("peers", "authority", text(&s.peerCA)),
		optional("peers", "secret", text(&s.peerSecret)),
		required("source", "kind", oneOf(&s.source, SourceDirectory, SourcePlatform, SourceStore)),
		optional("source", "directory", text(&s.directory)),
		optional("source", "platform", webAddress(&s.platform)),
		optional("targets", "choice", oneOf(&s.choice, ChoiceIndependent, ChoiceJoint)),
		withFallback("targets", "floor", share(&s.floor), func() {}),
		withFallback("targets", "retry_share", decimal(&s.retryShare, 0, maxRetryShare), func() { s.retryShare = 0 }),
		withFallback("targets", "retry_reserve", decimal(&s.retryReserve, 0, maxReserve), func() { s.retryReserve = 0 }),
		withFallback("targets", "retry_window", duration(&s.retryWindow, minWindow, maxDeadline), func() {}),
		withFallback("targets", "partition_slots", count(&s.partitionSlots, 0, maxSlots), func() { s.partitionSlots = 0 }),
		withFallback("targets", "handover", boolean(&s.handover), func() { s.handover = false }),
		optional("workspaces", "identity", oneOf(&s.workspaces.identity, IdentityHeader, IdentityKey)),
		withFallback("workspaces", "strict", boolean(&s.workspaces.strict), func() { s.workspaces.strict = true }),
		withFallback("workspaces", "key_age", duration(&s.workspaces.keyAge, minWindow, maxDeadline), func() {}),
		withFallback("workspaces", "window", duration(&s.workspaces.window, minWindow, maxDeadline), func() {}),
		withFallback("workspaces", "excess", share(&s.workspaces.excess), func() { s.workspaces.excess = 0 }),
		withFallback("workspaces", "slack", decimal(&s.workspaces.slack, 0, maxReserve), func() { s.workspaces.slack = 0 }),
		optional("log", "level", oneOf(&s.logLevel, "debug", "info", "warning", "error")),
		optional("log", "format", oneOf(&s.logFormat, "text", "json")),
		optional("metrics", "listen", address(&s.metricsListen)),
		optional("metrics", "workspaces", count(&s.metricWorkspaces, 0, maxWorkspaces)),
	}
}

func defaults() *Settings {
	return &Settings{
		maxBody:          32 << 20,
		maxHeader:        64 << 10,
		holdBody:         64 << 10,
		deadline:         10 * time.Second,
		stall:            15 * time.Second,
		weight:           1000,
		choice:           ChoiceIndependent,
		floor:            0.7,
		retryShare:       0.1,
		retryReserve:     10,
		retryWindow:      10 * time.Second,
		workspaceHeader:  "Plover-Workspace",
		drainWait:        5 * time.Second,
		logLevel:         "info",
		logFormat:        "text",
		metricWorkspaces: 100,
		workspaces: Workspaces{
			identity: IdentityHeader,
			keyAge:   5 * time.Second,
			window:   5 * time.Second,
			excess:   0.25,
			slack:    20,
		},
	}
}
