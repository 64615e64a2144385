// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
)

const (
	keyBrokers = "ta828m82thhkmgjqnirt"
	keyClinics = "h5mgjy5rcpihhacrudde"
)

// publishWorkspaces publishes the workspaces brokers and clinics with their keys.
func (s *site) publishWorkspaces(rate float64, keys ...string) {
	digests := []string{}
	for _, k := range keys {
		d := fleetconfig.DigestKey(k)
		digests = append(digests, base64.StdEncoding.EncodeToString(d[:]))
	}
	list, err := json.Marshal(digests)
	if err != nil {
		s.t.Fatal(err)
	}
	clinics := fleetconfig.DigestKey(keyClinics)
	s.platform.Publish("workspaces", fmt.Sprintf(`{"workspaces":[{"id":"brokers","rate":%v,"burst":%d,"keys":%s},{"id":"clinics","keys":[%q]}]}`,
		rate, int(rate), list, base64.StdEncoding.EncodeToString(clinics[:])))
}

// keyedSite returns a site with three targets and nodes that identify workspaces by key.
func keyedSite(t *testing.T, nodes int, rate float64) *site {
	t.Helper()
	s := newSite(t)
	for range 3 {
		s.target("quotes", "a", 3)
	}
	s.publishTargets(nil)
	s.standardRoutes("quotes")
	s.publishWorkspaces(rate, keyBrokers)
	for i := range nodes {
		s.node("a",
			withPeerAddress(fmt.Sprintf("127.0.3.%d:7951", i+1)),
			withExtra("[targets]\nchoice = joint\n[workspaces]\nidentity = key\n"))
	}
	s.allReady()
	for _, n := range s.nodes {
		eventually(t, "all members live", func() bool { return liveMembers(n) == nodes })
		eventually(t, "the key is accepted", func() bool { return n.requestWithKey(keyBrokers).status == http.StatusOK })
	}
	return s
}

func (n *node) requestWithKey(key string) reply {
	return n.do(http.MethodGet, "/quotes/1", "keyed", "", "Authorization", "Bearer "+key)
}

// Guards against keys of callers that leak to targets, logs, status or metrics. Targets
// receive the workspace instead.
func TestKeysAreNotLeaked(t *testing.T) {
	s := keyedSite(t, 2, 0)
	for _, n := range s.nodes {
		for range 20 {
			if r := n.requestWithKey(keyBrokers); r.status != http.StatusOK {
				t.Fatalf("status %d", r.status)
			}
			if r := n.requestWithKey("wrong-" + keyClinics); r.status != http.StatusUnauthorized {
				t.Fatalf("status %d for an unknown key", r.status)
			}
		}
	}
	for _, b := range s.targets {
		if h := b.LastHeader(); h != nil && (h.Get("Authorization") != "" || h.Get("Plover-Workspace") != "brokers") {
			t.Errorf("a target got %v", h)
		}
	}
	for _, n := range s.nodes {
		st, err := json.Marshal(n.status())
		if err != nil {
			t.Fatal(err)
		}
		outputs := map[string]string{
			"log":     n.proc.Load().Log(),
			"status":  string(st),
			"metrics": n.metricsText(),
		}
		for where, text := range outputs {
			for _, key := range []string{keyBrokers, keyClinics} {
				if strings.Contains(text, key) {
					t.Errorf("the %s contains a key", where)
				}
			}
		}
		if !strings.Contains(outputs["log"], `"workspace":"brokers"`) || !strings.Contains(outputs["log"], `"code":"unknown-key"`) {
			t.Error("the log lacks the workspace or the reason of a refused key")
		}
	}
}

func (n *node) metricsText() string {
	n.t.Helper()
	res, err := callers.Get("http://" + n.proc.Load().Operator() + "/metrics")
	if err != nil {
		n.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		n.t.Fatal(err)
	}
	return string(b)
}

// Guards against nodes that accept a revoked key, or refuse a new one, for longer than
// seconds.
func TestKeysFollowTheConfiguration(t *testing.T) {
	s := keyedSite(t, 3, 0)
	s.publishWorkspaces(0, "another-key-of-theirs")
	for _, n := range s.nodes {
		eventually(t, "the new key is accepted", func() bool { return n.requestWithKey("another-key-of-theirs").status == http.StatusOK })
		eventually(t, "the old key is refused", func() bool { return n.requestWithKey(keyBrokers).status == http.StatusUnauthorized })
	}
}

// Guards against a limit split by nodes instead of demand. A workspace whose callers all use
// one node of three gets its whole limit there, and not more.
func TestWorkspaceLimitFollowsDemand(t *testing.T) {
	const rate = 40
	s := keyedSite(t, 3, rate)
	n := s.nodes[1]
	var mu sync.Mutex
	admitted, refused, other := 0, 0, 0
	var load sync.WaitGroup
	started := time.Now()
	for range 4 {
		load.Go(func() {
			for time.Since(started) < 3*time.Second {
				r := n.requestWithKey(keyBrokers)
				mu.Lock()
				switch {
				case r.status == http.StatusOK:
					admitted++
				case r.status == http.StatusTooManyRequests && r.header.Get("Retry-After") != "" && r.outcome == "not-run":
					refused++
				default:
					other++
				}
				mu.Unlock()
			}
		})
	}
	load.Wait()
	took := time.Since(started).Seconds()
	if float64(admitted) < 0.8*rate*took || float64(admitted) > 1.25*rate*(took+1)+20 || refused == 0 || other > 0 {
		t.Errorf("in %.1f s %d admitted at a limit of %d a second, %d refused, %d with another status", took, admitted, rate, refused, other)
	}
	if r := n.requestWithKey(keyClinics); r.status != http.StatusOK {
		t.Errorf("another workspace: status %d", r.status)
	}
}
