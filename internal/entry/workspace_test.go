// SPDX-License-Identifier: Apache-2.0

package entry_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/contract"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/quarantine"
	"ploverjunction.example/ploverjunction/internal/signal"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

const (
	keyBrokers = "ta828m82thhkmgjqnirt"
	keyClinics = "h5mgjy5rcpihhacrudde"
	// header names the workspace to targets.
	header = "Plover-Workspace"
)

func digest(key string) []byte {
	d := fleetconfig.DigestKey(key)
	return d[:]
}

// document returns a service with an ordinary and a public route, and two workspaces.
func document() *wire.Document {
	return &wire.Document{
		Services: []*wire.Service{
			{
				Name: "quotes",
			},
		},
		Routes: []*wire.Route{
			{
				Name:       "quotes",
				PathPrefix: "/quotes",
				Service:    "quotes",
				Repeatable: true,
				Priority:   2,
			},
			{
				Name:       "open",
				PathPrefix: "/open",
				Service:    "quotes",
				Public:     true,
			},
		},
		Workspaces: []*wire.Workspace{
			{
				Id:       "brokers",
				Keys:     [][]byte{digest(keyBrokers)},
				Priority: 1,
			},
			{
				Id:   "clinics",
				Keys: [][]byte{digest(keyClinics)},
			},
		},
	}
}

func build(t *testing.T, d *wire.Document) *fleetconfig.Config {
	t.Helper()
	c, err := fleetconfig.Build([]*wire.Document{d})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// testSite is a server in front of one target that records its requests.
type testSite struct {
	server  *entry.Server
	url     string
	config  atomic.Pointer[fleetconfig.Config]
	current atomic.Bool
	trusted atomic.Bool
	// await implements AwaitCurrent.
	await func(ctx context.Context) bool
	// trial is set where a target is on trial.
	trial atomic.Bool
	// arrived receives a value for each request that reached the target.
	arrived chan struct{}

	mu      sync.Mutex
	seen    []*http.Request
	queries []*entry.Query
	log     bytes.Buffer
	// tokens counts the tokens taken and not returned, by workspace. limitReached is set
	// where none are left, noTarget where no target can be chosen.
	tokens       map[string]int
	limitReached bool
	noTarget     bool
}

func (s *testSite) limit(_ context.Context, w *fleetconfig.Workspace, _ time.Duration) *entry.LimitError {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limitReached {
		return &entry.LimitError{
			Wait: 1500 * time.Millisecond,
			By:   "allocator",
		}
	}
	s.tokens[w.ID()]++
	return nil
}

func (s *testSite) giveBack(w *fleetconfig.Workspace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens[w.ID()]--
}

func (s *testSite) recordRequest(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, r.Clone(context.Background()))
	s.arrived <- struct{}{}
}

// last returns the most recent request that reached the target, and their number.
func (s *testSite) last() (*http.Request, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.seen) == 0 {
		return nil, 0
	}
	return s.seen[len(s.seen)-1], len(s.seen)
}

// Write records the server's log.
func (s *testSite) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.Write(p)
}

func (s *testSite) logged() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.String()
}

// newSite starts the server; each change may modify its configuration.
func newSite(t *testing.T, change ...func(cfg *entry.Config)) *testSite {
	t.Helper()
	s := &testSite{
		await:   func(context.Context) bool { return false },
		arrived: make(chan struct{}, 100),
		tokens:  map[string]int{},
	}
	s.current.Store(true)
	s.trusted.Store(true)
	s.config.Store(build(t, document()))
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.recordRequest(r)
		_, _ = io.WriteString(w, "answer")
	}))
	t.Cleanup(target.Close)
	log := logrus.New()
	log.SetOutput(s)
	log.SetLevel(logrus.DebugLevel)
	choice := entry.Choice{
		Address: target.Listener.Addr().String(),
		Key:     "t",
		Done:    func(outlier.Result, time.Duration) {},
	}
	cfg := entry.Config{
		Signals:         &signal.Ledger{},
		Listen:          netip.MustParseAddrPort("127.0.0.1:0"),
		MaxBody:         1 << 20,
		MaxHeader:       64 << 10,
		HoldBody:        64 << 10,
		Deadline:        5 * time.Second,
		Stall:           5 * time.Second,
		WorkspaceHeader: header,
		KeyIdentity:     true,
		Trusted:         s.trusted.Load,
		Current:         s.current.Load,
		AwaitCurrent:    func(ctx context.Context) bool { return s.await(ctx) },
		Config:          s.config.Load,
		AwaitConfig:     func(context.Context) *fleetconfig.Config { return s.config.Load() },
		Contract:        contract.Plover(),
		Choose: func(_ context.Context, q *entry.Query) (entry.Choice, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.queries = append(s.queries, q)
			if s.noTarget {
				return entry.Choice{}, entry.NewNoTargetError(attempt.ReasonTargets, time.Second)
			}
			return choice, nil
		},
		Trial:         func(*fleetconfig.Service) (entry.Choice, bool) { return choice, s.trial.Load() },
		DepositRetry:  func(string) {},
		WithdrawRetry: func(string) bool { return true },
		Limit:         s.limit,
		GiveBack:      s.giveBack,

		Quarantined:  func(quarantine.Fingerprints) quarantine.Status { return quarantine.Status{} },
		RecordAnswer: func(quarantine.Fingerprints) {},
		Collector:    outlier.NewCollector(time.Second),
		RecordServed: func(string, string, int, string, time.Duration) {},
		Log:          logrus.NewEntry(log),
	}
	for _, c := range change {
		c(&cfg)
	}
	srv, err := entry.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s.server = srv
	s.url = "http://" + srv.Addr()
	serving := task.Go(context.Background(), "serve", srv.Serve)
	t.Cleanup(func() {
		if err := srv.Close(); err != nil {
			t.Error(err)
		}
		<-serving.Done()
	})
	return s
}

// get sends a request with the given header lines and returns the status.
func (s *testSite) get(t *testing.T, client *http.Client, path string, lines http.Header) int {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, s.url+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, values := range lines {
		r.Header[name] = values
	}
	res, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	return res.StatusCode
}

func TestKeys(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		lines  http.Header
		status int
		// workspace is what the target receives if the request reaches it.
		workspace string
	}{
		{
			name:   "no key",
			path:   "/quotes/1",
			status: http.StatusUnauthorized,
		},
		{
			name: "unknown key",
			path: "/quotes/1",
			lines: http.Header{
				"Authorization": {"Bearer nobody"},
			},
			status: http.StatusUnauthorized,
		},
		{
			name: "another scheme",
			path: "/quotes/1",
			lines: http.Header{
				"Authorization": {"Basic " + keyBrokers},
			},
			status: http.StatusUnauthorized,
		},
		{
			name: "two keys",
			path: "/quotes/1",
			lines: http.Header{
				"Authorization": {"Bearer " + keyBrokers, "Bearer " + keyClinics},
			},
			status: http.StatusUnauthorized,
		},
		{
			name: "good key",
			path: "/quotes/1",
			lines: http.Header{
				"Authorization": {"Bearer " + keyBrokers},
			},
			status:    http.StatusOK,
			workspace: "brokers",
		},
		{
			name: "the caller names another workspace, also with underscores",
			path: "/quotes/1",
			lines: http.Header{
				"Authorization":    {"bearer  " + keyClinics},
				"Plover-Workspace": {"brokers", "brokers"},
				"plover-workspace": {"brokers"},
				"Plover_Workspace": {"brokers"},
				"plover_WORKSPACE": {"brokers"},
				"Connection":       {"Plover-Workspace, Authorization"},
			},
			status:    http.StatusOK,
			workspace: "clinics",
		},
		{
			name:   "public route",
			path:   "/open/1",
			status: http.StatusOK,
		},
		{
			name: "public route, the caller names a workspace",
			path: "/open/1",
			lines: http.Header{
				"Plover-Workspace": {"brokers"},
				"Authorization":    {"Basic Zm9vOmJhcg=="},
			},
			status: http.StatusOK,
		},
		{
			name: "public route with a key",
			path: "/open/1",
			lines: http.Header{
				"Authorization": {"Bearer " + keyBrokers},
			},
			status:    http.StatusOK,
			workspace: "brokers",
		},
		{
			name: "public route with an unknown key",
			path: "/open/1",
			lines: http.Header{
				"Authorization": {"Bearer nobody"},
			},
			status: http.StatusUnauthorized,
		},
		{
			name:   "no route takes precedence over no key",
			path:   "/nowhere",
			status: http.StatusNotFound,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t)
			if got := s.get(t, &http.Client{}, c.path, c.lines); got != c.status {
				t.Fatalf("status %d, want %d", got, c.status)
			}
			r, n := s.last()
			if c.status != http.StatusOK {
				if n > 0 {
					t.Error("a refused request reached the target")
				}
				return
			}
			received := r.Header.Values(header)
			if c.workspace == "" && len(received) > 0 || c.workspace != "" && (len(received) != 1 || received[0] != c.workspace) {
				t.Errorf("the target received workspace %q, want %q", received, c.workspace)
			}
			for name, values := range r.Header {
				if strings.Contains(name, "_") || strings.Contains(strings.Join(values, " "), keyBrokers) || name == "Authorization" {
					t.Errorf("the target received %s: %q", name, values)
				}
			}
		})
	}
}

// Keys are never logged, for accepted and refused requests alike.
func TestKeysAreNotLogged(t *testing.T) {
	s := newSite(t)
	for _, key := range []string{keyBrokers, "unknown-" + keyClinics} {
		s.get(t, &http.Client{}, "/quotes/1", http.Header{
			"Authorization": {"Bearer " + key},
		})
	}
	out := s.logged()
	if strings.Contains(out, keyBrokers) || strings.Contains(out, keyClinics) {
		t.Errorf("the log contains a key:\n%s", out)
	}
	if !strings.Contains(out, "workspace=brokers") || !strings.Contains(out, string(entry.CodeKey)) {
		t.Errorf("the log lacks the workspace or the code of a refusal:\n%s", out)
	}
}

// Without workspaces no key is needed, and the Authorization header is passed on to targets.
func TestNoWorkspacesNeedNoKey(t *testing.T) {
	s := newSite(t)
	d := document()
	d.Workspaces = nil
	s.config.Store(build(t, d))
	status := s.get(t, &http.Client{}, "/quotes/1", http.Header{
		"Authorization":    {"Basic Zm9vOmJhcg=="},
		"Plover-Workspace": {"brokers"},
	})
	r, _ := s.last()
	if status != http.StatusOK || r.Header.Get("Authorization") == "" || r.Header.Get(header) != "" {
		t.Errorf("status %d, header %v", status, r.Header)
	}
}

// A trial request carries the workspace and not the key.
func TestTrialRequestCarriesWorkspaceWithoutKey(t *testing.T) {
	s := newSite(t)
	s.trial.Store(true)
	s.get(t, &http.Client{}, "/quotes/1", http.Header{
		"Authorization": {"Bearer " + keyBrokers},
	})
	<-s.arrived
	<-s.arrived
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.seen) != 2 {
		t.Fatalf("%d requests reached the targets", len(s.seen))
	}
	for _, r := range s.seen {
		if r.Header.Get(header) != "brokers" || r.Header.Get("Authorization") != "" {
			t.Errorf("header %v", r.Header)
		}
	}
}

// The priority of a workspace takes precedence over that of a route; callers without a key rank
// with the least urgent workspace.
func TestRankOrder(t *testing.T) {
	s := newSite(t)
	priority := func(path, key string) int {
		lines := http.Header{}
		if key != "" {
			lines.Set("Authorization", "Bearer "+key)
		}
		s.get(t, &http.Client{}, path, lines)
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.queries[len(s.queries)-1].Priority
	}
	order := []int{
		priority("/open/1", keyClinics),
		priority("/quotes/1", keyClinics),
		priority("/open/1", keyBrokers),
		priority("/quotes/1", keyBrokers),
	}
	for i := 1; i < len(order); i++ {
		if order[i] <= order[i-1] {
			t.Errorf("ranks %v", order)
		}
	}
	if anonymous := priority("/open/1", ""); anonymous != order[2] {
		t.Errorf("rank without a key %d, among %v", anonymous, order)
	}
}

// A revoked key is refused also on a connection that was opened before.
func TestRevokedKeyIsRefusedOnOpenConnection(t *testing.T) {
	s := newSite(t)
	client := &http.Client{}
	lines := http.Header{
		"Authorization": {"Bearer " + keyBrokers},
	}
	if got := s.get(t, client, "/quotes/1", lines); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	d := document()
	d.Workspaces[0].Keys = nil
	s.config.Store(build(t, d))
	if got := s.get(t, client, "/quotes/1", lines); got != http.StatusUnauthorized {
		t.Errorf("status %d after the key was revoked", got)
	}
}

// A node that may lack the newest configuration does not refuse a key as unknown.
func TestUnknownKeyWithoutNewestConfiguration(t *testing.T) {
	lines := http.Header{
		"Authorization": {"Bearer new"},
	}
	newer := func(t *testing.T) *fleetconfig.Config {
		d := document()
		d.Workspaces[1].Keys = append(d.Workspaces[1].Keys, digest("new"))
		return build(t, d)
	}
	cases := []struct {
		name   string
		await  func(t *testing.T, s *testSite) bool
		status int
	}{
		{
			name:   "node stays outdated",
			await:  func(*testing.T, *testSite) bool { return false },
			status: http.StatusServiceUnavailable,
		},
		{
			name: "newer configuration has the key",
			await: func(t *testing.T, s *testSite) bool {
				s.config.Store(newer(t))
				return true
			},
			status: http.StatusOK,
		},
		{
			name:   "configuration is the newest",
			await:  func(*testing.T, *testSite) bool { return true },
			status: http.StatusUnauthorized,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t)
			s.current.Store(false)
			s.await = func(ctx context.Context) bool {
				if _, ok := ctx.Deadline(); !ok {
					t.Error("a request waits for a configuration without a deadline")
				}
				return c.await(t, s)
			}
			if got := s.get(t, &http.Client{}, "/quotes/1", lines); got != c.status {
				t.Errorf("status %d, want %d", got, c.status)
			}
			if got := s.get(t, &http.Client{}, "/quotes/1", http.Header{
				"Authorization": {"Bearer " + keyBrokers},
			}); got != http.StatusOK {
				t.Errorf("status %d for a known key", got)
			}
		})
	}
}

// With the strict setting, a node that lost the platform refuses all keys, also known ones, and
// still serves public routes.
func TestStrictNodeWithoutPlatformRefusesKeys(t *testing.T) {
	s := newSite(t)
	s.trusted.Store(false)
	if got := s.get(t, &http.Client{}, "/quotes/1", http.Header{
		"Authorization": {"Bearer " + keyBrokers},
	}); got != http.StatusServiceUnavailable {
		t.Errorf("status %d", got)
	}
	if got := s.get(t, &http.Client{}, "/open/1", nil); got != http.StatusOK {
		t.Errorf("status %d for a public route", got)
	}
}

// A request takes a token and returns it if it was not run. Requests refused before the limit is
// checked take none.
func TestLimit(t *testing.T) {
	brokers := http.Header{
		"Authorization": {"Bearer " + keyBrokers},
	}
	cases := []struct {
		name    string
		prepare func(s *testSite)
		path    string
		lines   http.Header
		status  int
		tokens  int
	}{
		{
			name:    "answered",
			prepare: func(*testSite) {},
			path:    "/quotes/1",
			lines:   brokers,
			status:  http.StatusOK,
			tokens:  1,
		},
		{
			name:    "limit exceeded",
			prepare: func(s *testSite) { s.limitReached = true },
			path:    "/quotes/1",
			lines:   brokers,
			status:  http.StatusTooManyRequests,
		},
		{
			name:    "not run",
			prepare: func(s *testSite) { s.noTarget = true },
			path:    "/quotes/1",
			lines:   brokers,
			status:  http.StatusServiceUnavailable,
		},
		{
			name:    "no route",
			prepare: func(*testSite) {},
			path:    "/nowhere",
			lines:   brokers,
			status:  http.StatusNotFound,
		},
		{
			name:    "public, without a key",
			prepare: func(s *testSite) { s.limitReached = true },
			path:    "/open/1",
			status:  http.StatusOK,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t)
			c.prepare(s)
			if got := s.get(t, &http.Client{}, c.path, c.lines); got != c.status {
				t.Errorf("status %d, want %d", got, c.status)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.tokens["brokers"] != c.tokens {
				t.Errorf("%d tokens taken, want %d", s.tokens["brokers"], c.tokens)
			}
		})
	}
}
