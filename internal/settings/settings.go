// SPDX-License-Identifier: Apache-2.0

// Package settings reads and checks the INI file of one process.
package settings

import (
	"net/netip"
	"slices"
	"time"
)

// SourceKind is where published configuration is read from.
type SourceKind string

// Kinds of sources of published configuration.
const (
	SourceDirectory SourceKind = "directory"
	SourcePlatform  SourceKind = "platform"
	// SourceStore is a key-value store that is read by an adapter.
	SourceStore SourceKind = "store"
)

// ChoiceMode is how the nodes choose targets.
type ChoiceMode string

// Modes of choosing targets.
const (
	// ChoiceIndependent is the independent mode: each node chooses by its own measurements and
	// the ejection decisions of observers.
	ChoiceIndependent ChoiceMode = "alone"
	// ChoiceJoint means that one node, the dispatcher, chooses for all requests of a service.
	ChoiceJoint ChoiceMode = "joint"
)

// Settings holds the checked settings of one process. It doesn't change after Load and is
// safe for concurrent use.
type Settings struct {
	dataHall string
	outgoing netip.Addr
	weight   uint32
	regions  map[string]string

	descriptors int

	entryListen     netip.AddrPort
	maxBody         int64
	maxHeader       int64
	holdBody        int64
	memory          int64
	deadline        time.Duration
	stall           time.Duration
	workspaceHeader string
	drainWait       time.Duration
	grace           time.Duration

	operatorListen netip.AddrPort

	peerListen netip.AddrPort
	advertise  netip.AddrPort
	seeds      []netip.AddrPort
	peerCert   string
	peerKey    string
	peerCA     string
	peerSecret string

	source    SourceKind
	directory string
	platform  string

	choice       ChoiceMode
	floor        float64
	retryShare   float64
	retryReserve float64
	retryWindow  time.Duration

	partitionSlots int
	handover       bool

	workspaces Workspaces

	// warnings are faults for which a safe value is used.
	warnings []*Error

	logLevel  string
	logFormat string

	metricWorkspaces int
	metricsListen    netip.AddrPort
}

// DataHall returns the data hall of this process.
func (s *Settings) DataHall() string { return s.dataHall }

// Outgoing returns the local IP address of connections to targets; the zero value leaves
// the choice to the system.
func (s *Settings) Outgoing() netip.Addr { return s.outgoing }

// Regions returns the region of each data hall by its name. The map must not be changed.
func (s *Settings) Regions() map[string]string { return s.regions }

// Weight returns the capacity of this process in thousandths of a processor. Nodes with
// more capacity get more of the fleet's roles.
func (s *Settings) Weight() uint32 { return s.weight }

// Descriptors returns the number of descriptors that this process may open, 0 if only the limit of the system is known.
func (s *Settings) Descriptors() int { return s.descriptors }

// EntryListen returns the address of the listener for callers.
func (s *Settings) EntryListen() netip.AddrPort { return s.entryListen }

// MaxBody returns the maximum size of a request body in bytes.
func (s *Settings) MaxBody() int64 { return s.maxBody }

// MaxHeader returns the maximum size of request headers in bytes.
func (s *Settings) MaxHeader() int64 { return s.maxHeader }

// MaxBufferedBody returns the size in bytes up to which answers are buffered whole.
func (s *Settings) MaxBufferedBody() int64 { return s.holdBody }

// Memory returns the bytes that this process may use, 0 if unknown.
func (s *Settings) Memory() int64 { return s.memory }

// Deadline returns the default deadline of routes.
func (s *Settings) Deadline() time.Duration { return s.deadline }

// StallTimeout returns how long the body of an answer may make no progress before it counts as
// broken.
func (s *Settings) StallTimeout() time.Duration { return s.stall }

// WorkspaceHeader returns the header that names the workspace of a request.
func (s *Settings) WorkspaceHeader() string { return s.workspaceHeader }

// DrainWait returns how long callers are still accepted after a planned stop began, so
// that the load balancer in front can detect it.
func (s *Settings) DrainWait() time.Duration { return s.drainWait }

// Grace returns after how long the process is killed once a planned stop began; 0 means that it is not.
func (s *Settings) Grace() time.Duration { return s.grace }

// OperatorListen returns the address of the listener for operators.
func (s *Settings) OperatorListen() netip.AddrPort { return s.operatorListen }

// PeerListen returns the address of the listener for other processes of the fleet; the
// zero value means that this process has no peers.
func (s *Settings) PeerListen() netip.AddrPort { return s.peerListen }

// Advertise returns the address at which peers reach this process, by default PeerListen.
func (s *Settings) Advertise() netip.AddrPort {
	if s.advertise.IsValid() {
		return s.advertise
	}
	return s.peerListen
}

// Seeds returns the peers to contact before a list of instances has been received.
func (s *Settings) Seeds() []netip.AddrPort { return slices.Clone(s.seeds) }

// PeerTLS returns the files of the certificate, the key and the authority that peers must
// share. All three are empty if connections between peers are not encrypted.
func (s *Settings) PeerTLS() (cert, key, ca string) { return s.peerCert, s.peerKey, s.peerCA }

// Source returns where published configuration is read from.
func (s *Settings) Source() SourceKind { return s.source }

// Directory returns the directory of published files for SourceDirectory.
func (s *Settings) Directory() string { return s.directory }

// Platform returns the base URL of the platform for SourcePlatform and SourceStore.
func (s *Settings) Platform() string { return s.platform }

// Choice returns how this process chooses targets.
func (s *Settings) Choice() ChoiceMode { return s.choice }

// Floor returns the share of the working targets of a service that should have received
// requests within the last 1.5 s, whether or not requests fail.
func (s *Settings) Floor() float64 { return s.floor }

// RetryBudget returns how many retries the whole fleet may send to one service in each window:
// share, a fraction of the requests, plus reserve retries.
func (s *Settings) RetryBudget() (share, reserve float64, window time.Duration) {
	return s.retryShare, s.retryReserve, s.retryWindow
}

// PartitionSlots returns the number of slots of a service in each data hall from which on it is
// partitioned by data halls; 0 leaves that to the number of targets. All nodes must have the same value.
func (s *Settings) PartitionSlots() int { return s.partitionSlots }

// Handover reports whether a dispatcher sends what it has learned to the node that has the role after it.
func (s *Settings) Handover() bool { return s.handover }

// Workspaces returns how workspaces are identified and limited.
func (s *Settings) Workspaces() *Workspaces { return &s.workspaces }

// Warnings returns the faults for which a safe value is used: values that the platform
// fills in.
func (s *Settings) Warnings() []*Error { return slices.Clone(s.warnings) }

// PeerSecret returns the key that authenticates datagrams between peers, or "".
func (s *Settings) PeerSecret() string { return s.peerSecret }

// MetricsListen returns an address on which metrics are served besides OperatorListen; the
// zero value means none.
func (s *Settings) MetricsListen() netip.AddrPort { return s.metricsListen }

// LogLevel returns the log level by its logrus name.
func (s *Settings) LogLevel() string { return s.logLevel }

// LogFormat returns "text" or "json".
func (s *Settings) LogFormat() string { return s.logFormat }

// MetricWorkspaces returns the maximum number of workspaces with their own series.
func (s *Settings) MetricWorkspaces() int { return s.metricWorkspaces }
