// SPDX-License-Identifier: Apache-2.0

// Package settings reads and checks the INI file of one process.
package settings

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"
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

// Bounds of settings, both included.
const (
	minBody       = 0
	maxBody       = 16 << 30
	minHeader     = 4 << 10
	maxHeader     = 1 << 20
	maxDrainWait  = 10 * time.Minute
	maxDeadline   = 24 * time.Hour
	maxWorkspaces = 10000
	maxReserve    = 1_000_000
)

// Settings are the checked settings of one process. They don't change after
// Load and may be read concurrently.
type Settings struct {
	dataHall string
	outgoing netip.Addr
	weight   uint32

	entryListen     netip.AddrPort
	maxBody         int64
	maxHeader       int64
	holdBody        int64
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
	retryReserve int
	retryWindow  time.Duration

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

// Weight returns what this process can carry, in thousandths of a processor. Nodes
// that can carry more get more of the fleet's duties.
func (s *Settings) Weight() uint32 { return s.weight }

// EntryListen returns the address on which callers are served.
func (s *Settings) EntryListen() netip.AddrPort { return s.entryListen }

// MaxBody returns the greatest size of a request body in bytes.
func (s *Settings) MaxBody() int64 { return s.maxBody }

// MaxHeader returns the greatest size of request headers in bytes.
func (s *Settings) MaxHeader() int64 { return s.maxHeader }

// HoldBody returns the size in bytes up to which answers are held whole.
func (s *Settings) HoldBody() int64 { return s.holdBody }

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
func (s *Settings) Retries() (share float64, reserve int, window time.Duration) {
	return s.retryShare, s.retryReserve, s.retryWindow
}

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

// field is one key that a settings file may hold.
type field struct {
	section  string
	key      string
	required bool
	// set takes the value, or says what is wrong with it.
	set func(text string) string
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

func (s *Settings) fields() []field {
	return []field{
		required("node", "data_hall", text(&s.dataHall)),
		optional("node", "outgoing", ip(&s.outgoing)),
		optional("node", "processors", processors(&s.weight)),
		required("entry", "listen", address(&s.entryListen)),
		optional("entry", "max_body", size(&s.maxBody, minBody, maxBody)),
		optional("entry", "max_header", size(&s.maxHeader, minHeader, maxHeader)),
		optional("entry", "hold_body", size(&s.holdBody, 0, maxBody)),
		optional("entry", "deadline", duration(&s.deadline, time.Millisecond, maxDeadline)),
		optional("entry", "stall", duration(&s.stall, 10*time.Millisecond, maxDeadline)),
		optional("entry", "workspace_header", text(&s.workspaceHeader)),
		optional("entry", "drain_wait", duration(&s.drainWait, 0, maxDrainWait)),
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
		optional("targets", "choice", oneOf(&s.choice, ChoiceAlone, ChoiceJoint)),
		optional("targets", "floor", share(&s.floor)),
		optional("targets", "retry_share", share(&s.retryShare)),
		optional("targets", "retry_reserve", count(&s.retryReserve, 0, maxReserve)),
		optional("targets", "retry_window", duration(&s.retryWindow, time.Second, maxDeadline)),
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
		choice:           ChoiceAlone,
		floor:            0.7,
		retryShare:       0.1,
		retryReserve:     10,
		retryWindow:      10 * time.Second,
		workspaceHeader:  "Plover-Workspace",
		drainWait:        5 * time.Second,
		logLevel:         "info",
		logFormat:        "text",
		metricWorkspaces: 100,
	}
}

// Load reads and checks a settings file. Every fault is an *Error; no part of a
// faulty file is taken.
func Load(file string) (*Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:             true,
		SkipUnrecognizableLines:  false,
		SpaceBeforeInlineComment: true,
	}, file)
	if err != nil {
		return nil, loadError(file, err)
	}
	s := defaults()
	fields := s.fields()
	if err := checkKnown(file, f, fields); err != nil {
		return nil, err
	}
	for _, fd := range fields {
		if err := fd.read(file, f); err != nil {
			return nil, err
		}
	}
	return s, s.checkTogether(file)
}

func loadError(file string, err error) *Error {
	kind := KindFile
	if ini.IsErrDelimiterNotFound(err) || strings.Contains(err.Error(), "unclosed") {
		kind = KindSyntax
	}
	return &Error{
		kind:  kind,
		file:  file,
		cause: err,
	}
}

func checkKnown(file string, f *ini.File, fields []field) error {
	for _, sec := range f.Sections() {
		known := slices.ContainsFunc(fields, func(fd field) bool { return fd.section == sec.Name() })
		if !known && (sec.Name() != ini.DefaultSection || len(sec.Keys()) > 0) {
			return &Error{
				kind:    KindSection,
				file:    file,
				section: sec.Name(),
			}
		}
		for _, k := range sec.Keys() {
			if err := checkKey(file, sec.Name(), k, fields); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkKey(file, section string, k *ini.Key, fields []field) error {
	kind := Kind("")
	known := slices.ContainsFunc(fields, func(fd field) bool { return fd.section == section && fd.key == k.Name() })
	switch {
	case !known:
		kind = KindKey
	case len(k.ValueWithShadows()) > 1:
		kind = KindDuplicate
	default:
		return nil
	}
	return &Error{
		kind:    kind,
		file:    file,
		section: section,
		key:     k.Name(),
	}
}

func (fd field) read(file string, f *ini.File) error {
	sec := f.Section(fd.section)
	fault := &Error{
		file:    file,
		section: fd.section,
		key:     fd.key,
	}
	if !sec.HasKey(fd.key) {
		if !fd.required {
			return nil
		}
		fault.kind = KindMissing
		return fault
	}
	if fault.detail = fd.set(sec.Key(fd.key).Value()); fault.detail != "" {
		fault.kind = KindValue
		return fault
	}
	return nil
}

// checkTogether checks what one key alone doesn't show.
func (s *Settings) checkTogether(file string) error {
	missing := func(section, key, why string) error {
		return &Error{
			kind:    KindMissing,
			file:    file,
			section: section,
			key:     key,
			detail:  why,
		}
	}
	if s.source == SourceDirectory && s.directory == "" {
		return missing("source", "directory", "kind is directory")
	}
	if s.source != SourceDirectory && s.platform == "" {
		return missing("source", "platform", "kind is "+string(s.source))
	}
	if len(s.seeds) > 0 && !s.peerListen.IsValid() {
		return missing("peers", "listen", "seeds are given")
	}
	set := 0
	for _, v := range []string{s.peerCert, s.peerKey, s.peerCA} {
		if v != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		return missing("peers", "certificate, key, authority", "all three or none")
	}
	return nil
}
