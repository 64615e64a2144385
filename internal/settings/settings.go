// SPDX-License-Identifier: Apache-2.0

// Package settings reads and checks the INI file of one process.
package settings

import (
	"net/netip"
	"slices"
	"time"
)

// SourceKind says where published configuration is read.
type SourceKind string

// Kinds of sources of published configuration.
const (
	SourceDirectory SourceKind = "directory"
	SourcePlatform  SourceKind = "platform"
	// SourceStore is a key-value store that an adapter reads.
	SourceStore SourceKind = "store"
)

// ChoiceMode says how the nodes choose targets.
type ChoiceMode string

// Ways to choose targets.
const (
	// ChoiceAlone means that each node chooses by what it knows itself and by the
	// verdicts of observers.
	ChoiceAlone ChoiceMode = "alone"
	// ChoiceJoint means that one node chooses for all requests of a service.
	ChoiceJoint ChoiceMode = "joint"
)

// Settings are the checked settings of one process. They don't change after
// Load and may be read concurrently.
type Settings struct {
	dataHall string
	outgoing netip.Addr
	weight   uint32
	regions  map[string]string

	entryListen     netip.AddrPort
	maxBody         int64
	maxHeader       int64
	holdBody        int64
	memory          int64
	deadline        time.Duration
	stall           time.Duration
	workspaceHeader string
	drainWait       time.Duration

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

	workspaces Workspaces

	// warnings are faults for which a safe value was taken.
	warnings []*Error

	logLevel  string
	logFormat string

	metricWorkspaces int
	metricsListen    netip.AddrPort
}

// DataHall returns the data hall of this process.
func (s *Settings) DataHall() string { return s.dataHall }

// Outgoing returns the IP number that connections to targets come from; the zero
// value leaves the choice to the system.
func (s *Settings) Outgoing() netip.Addr { return s.outgoing }

// Regions returns the regions of data halls by their names. The map must not be changed.
func (s *Settings) Regions() map[string]string { return s.regions }

// Weight returns what this process can carry, in thousandths of a processor. Nodes
// that can carry more get more of the fleet's roles.
func (s *Settings) Weight() uint32 { return s.weight }

// EntryListen returns the address on which callers are served.
func (s *Settings) EntryListen() netip.AddrPort { return s.entryListen }

// MaxBody returns the greatest size of a request body in bytes.
func (s *Settings) MaxBody() int64 { return s.maxBody }

// MaxHeader returns the greatest size of request headers in bytes.
func (s *Settings) MaxHeader() int64 { return s.maxHeader }

// HoldBody returns the size in bytes up to which answers are held whole.
func (s *Settings) HoldBody() int64 { return s.holdBody }

// Memory returns the bytes that this process may use, 0 if no bound is known.
func (s *Settings) Memory() int64 { return s.memory }

// Deadline returns the deadline of routes that state none.
func (s *Settings) Deadline() time.Duration { return s.deadline }

// Stall returns how long the body of an answer may stop before it counts as
// broken.
func (s *Settings) Stall() time.Duration { return s.stall }

// WorkspaceHeader returns the header that names the workspace of a request.
func (s *Settings) WorkspaceHeader() string { return s.workspaceHeader }

// DrainWait returns how long callers are still accepted after a planned stop
// began, so that the balancer in front can notice.
func (s *Settings) DrainWait() time.Duration { return s.drainWait }

// OperatorListen returns the address on which operators are served.
func (s *Settings) OperatorListen() netip.AddrPort { return s.operatorListen }

// PeerListen returns the address for other processes of the fleet; the zero
// value means that this process stays alone.
func (s *Settings) PeerListen() netip.AddrPort { return s.peerListen }

// Advertise returns the address by which peers reach this process; it is
// PeerListen unless the settings say otherwise.
func (s *Settings) Advertise() netip.AddrPort {
	if s.advertise.IsValid() {
		return s.advertise
	}
	return s.peerListen
}

// Seeds returns peers to ask before any list of instances is known.
func (s *Settings) Seeds() []netip.AddrPort { return slices.Clone(s.seeds) }

// PeerTLS returns the files of the certificate, the key and the authority that
// peers must share. All three are empty when peers talk in the clear.
func (s *Settings) PeerTLS() (cert, key, ca string) { return s.peerCert, s.peerKey, s.peerCA }

// Source returns where published configuration is read.
func (s *Settings) Source() SourceKind { return s.source }

// Directory returns the folder of published files for SourceDirectory.
func (s *Settings) Directory() string { return s.directory }

// Platform returns the base URL of the platform for SourcePlatform.
func (s *Settings) Platform() string { return s.platform }

// Choice returns how this process chooses targets.
func (s *Settings) Choice() ChoiceMode { return s.choice }

// Floor returns the share of the working targets of a service that should have had work
// within the last 1.5 s, whether or not requests fail.
func (s *Settings) Floor() float64 { return s.floor }

// Retries returns what the whole fleet may send beyond the first attempt of each
// request to one service: share of the requests and reserve more in each window.
func (s *Settings) Retries() (share, reserve float64, window time.Duration) {
	return s.retryShare, s.retryReserve, s.retryWindow
}

// Workspaces returns how workspaces are told apart and limited.
func (s *Settings) Workspaces() *Workspaces { return &s.workspaces }

// Warnings returns the faults in place of which a safe value was taken: figures that
// the platform fills in.
func (s *Settings) Warnings() []*Error { return slices.Clone(s.warnings) }

// PeerSecret returns the key of the datagrams between peers, or "".
func (s *Settings) PeerSecret() string { return s.peerSecret }

// MetricsListen returns the address on which metrics are served besides the
// operators' one; the zero value means nowhere else.
func (s *Settings) MetricsListen() netip.AddrPort { return s.metricsListen }

// LogLevel returns the level as logrus names it.
func (s *Settings) LogLevel() string { return s.logLevel }

// LogFormat returns "text" or "json".
func (s *Settings) LogFormat() string { return s.logFormat }

// MetricWorkspaces returns how many workspaces get series of their own.
func (s *Settings) MetricWorkspaces() int { return s.metricWorkspaces }
