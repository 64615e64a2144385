// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/contract"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/inbound"
	"ploverjunction.example/ploverjunction/internal/memory"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/quarantine"
	"ploverjunction.example/ploverjunction/internal/signal"
	"ploverjunction.example/ploverjunction/internal/traffic"
)

// Config holds the settings and dependencies of a Server. All functions may be called
// concurrently.
type Config struct {
	Listen    netip.AddrPort
	MaxBody   int64
	MaxHeader int64
	HoldBody  int64
	// OnLimited is called with the service of each request that is refused for a limit; nil
	// disables it.
	OnLimited func(service string)
	// Memory bounds the bytes of bodies held in each direction; 0 means unlimited.
	Memory int64
	// Connections is the greatest number of callers' connections, 0 means unlimited. HeaderMemory bounds the memory
	// of large headers; nil means unlimited. OnClosed is called for each connection that is closed for a limit; nil
	// disables it.
	Connections  int
	HeaderMemory *memory.Budget
	// AnswerMemory bounds the memory of headers of targets' answers; nil means unlimited.
	AnswerMemory *memory.Budget
	OnClosed     func(c inbound.Closed)
	Deadline     time.Duration
	Stall        time.Duration
	Outgoing     netip.Addr
	// DataHall is that of this node. TargetBytes counts the bytes to and from targets by whether they
	// are in it; nil counts none.
	DataHall    string
	TargetBytes *traffic.Bytes
	// WorkspaceHeader names the header with a request's workspace. Callers set it or, if Keyed is
	// set, the server sets it for targets.
	WorkspaceHeader string
	// KeyIdentity is set where callers authenticate with keys of their workspaces.
	KeyIdentity bool
	// Trusted reports whether the local copy of the keys is still valid; nil means always.
	Trusted func() bool
	// Current reports whether this node can have the newest configuration. AwaitCurrent waits
	// until it can, or the context ends, and returns whether it can.
	Current      func() bool
	AwaitCurrent func(ctx context.Context) bool
	// Config returns the configuration in force, or nil before the first one.
	Config func() *fleetconfig.Config
	// AwaitConfig waits for the first configuration until the context ends; it returns nil if
	// there is none by then.
	AwaitConfig func(ctx context.Context) *fleetconfig.Config
	// Contract names the headers between callers, the fleet and targets.
	Contract *contract.Contract
	// Choose chooses a target for an attempt. It may wait for one until the context ends; it
	// returns a *NoTargetError if there is none.
	Choose func(ctx context.Context, q *Query) (Choice, error)
	// PathTargets returns the addresses of a service's targets by which the paths of this node may be
	// checked; nil disables the checks. OnPathsChanged is called with the number of services of which
	// no target is reached; it may be nil.
	PathTargets    func(service string) []string
	OnPathsChanged func(services int)
	// Unavailable returns the keys of a service's targets that signalled this node that they drain or
	// back off; nil means none.
	Unavailable func(service *fleetconfig.Service) []string
	// Peers returns up to n nodes that may make attempts for a service in place of this one, the best
	// one first; nil means none. PeerUnable is called with one that could not.
	Peers      func(service string, n int) []Peer
	PeerUnable func(service, peer string)
	// Trial returns a target that should get a copy of a repeatable request as a trial request, if
	// there is one.
	Trial func(service *fleetconfig.Service) (Choice, bool)
	// DepositRetry deposits into a service's retry budget; Retry withdraws one retry and reports whether
	// there was one.
	DepositRetry  func(service string)
	WithdrawRetry func(service string) bool
	// Limit charges a request to its workspace's limit and returns nil if it may proceed. It takes
	// some milliseconds, and up to maxWait on a node that is starting. GiveBack returns the
	// tokens of a request that was not run.
	Limit    func(ctx context.Context, w *fleetconfig.Workspace, maxWait time.Duration) *LimitError
	GiveBack func(w *fleetconfig.Workspace)
	// Quarantined returns the quarantine status of a request. RecordCrash records that a target crashed
	// under a request and returns the new status; RecordAnswer records that a target answered one.
	Quarantined  func(fingerprints quarantine.Fingerprints) quarantine.Status
	RecordCrash  func(fingerprints quarantine.Fingerprints, target string) quarantine.Status
	RecordAnswer func(fingerprints quarantine.Fingerprints)
	// OnUnmatched is called with each failed attempt whose answer may belong to another one; nil
	// disables it.
	OnUnmatched func()
	// Signals records the signals in targets' answers.
	Signals *signal.Ledger
	// Collector records the results of attempts per target.
	Collector *outlier.Collector
	// RecordServed records the final answer to a request.
	RecordServed func(class, workspace string, status int, outcome string, took time.Duration)
	Log          *logrus.Entry
}
