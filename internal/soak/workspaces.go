// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"context"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
)

// The workspace with a limit and the number of its requests that may run in a window,
// with the defaults of [workspaces].
const (
	hotKey     = "hot-key"
	hotRate    = 20
	hotPrefix  = "hot-"
	hotWindow  = 5 * time.Second
	hotMaxRuns = (hotRate*5+hotRate)*5/4 + 20
	// hotPause is the pause between two calls of the caller that exceeds the limit.
	hotPause = 8 * time.Millisecond
)

// key returns the API key that most callers use, in plans without keys their workspace if there are any.
func (f *fleet) key() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.plan.Keyed:
	case len(f.plan.Weights) > 0:
		return "usual"
	default:
		return ""
	}
	return keyName(f.keys)
}

func keyName(n int) string { return fmt.Sprintf("key-number-%d", n) }

func digest(key string) string {
	d := fleetconfig.DigestKey(key)
	return base64.StdEncoding.EncodeToString(d[:])
}

// rotateKeys revokes the newest key and issues another one.
func (f *fleet) rotateKeys() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keys++
	f.revoked = time.Now()
	f.platform.Publish("workspaces", fmt.Sprintf(`{"workspaces":[{"id":"usual","keys":[%q]},{"id":"hot","rate":%d,"burst":%d,"keys":[%q]}%s]}`,
		digest(keyName(f.keys)), hotRate, hotRate, digest(hotKey), f.competitors()))
}

// restartTarget resets a target's connections and publishes a new incarnation of it.
func (f *fleet) restartTarget(index int) {
	b := f.targets[index]
	f.mu.Lock()
	defer f.mu.Unlock()
	b.signalsDraining.Store(false)
	b.SetMode(b.mode())
	b.proxy.Reset()
	b.born.Store(time.Now().UnixMilli())
	b.births = append(b.births, time.Since(f.started))
	f.publishTargets()
}

// sendOverLimit sends more requests than its workspace's limit allows until the context ends.
func (f *fleet) sendOverLimit(ctx context.Context) {
	c := newClient()
	defer c.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(f.plan.Seed, 0x407))
	for i := 0; ctx.Err() == nil; i++ {
		l := f.nodes[rng.IntN(len(f.nodes))].current.Load()
		// The result is checked at the targets.
		_ = call(ctx, c, http.MethodPost, "http://"+l.proc.Entry()+"/quotes/1", fmt.Sprint(hotPrefix, i), hotKey)
		time.Sleep(hotPause)
	}
}

// sendRevokedKeys sends revoked keys and checks that undisturbed nodes refuse them.
func (f *fleet) sendRevokedKeys(ctx context.Context) {
	c := newClient()
	defer c.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		n := f.nodes[i%len(f.nodes)]
		f.mu.Lock()
		old, revoked := f.keys-1, f.revoked
		f.mu.Unlock()
		started := time.Since(f.started)
		r := call(ctx, c, http.MethodGet, "http://"+n.current.Load().proc.Entry()+"/quotes/1", fmt.Sprint("old-", i), keyName(old))
		f.mu.Lock()
		same := old == f.keys-1
		f.mu.Unlock()
		if old > 0 && same && r.status == http.StatusOK && started-revoked.Sub(f.started) > propagationTime && f.undisturbedSince(n, started-propagationTime) {
			f.violation("node %d: accepted a key %v after it was revoked", n.index, time.Since(revoked).Round(time.Millisecond))
		}
		time.Sleep(pollInterval)
	}
}

// checkWorkspaces checks the workspace that targets received and the limit of the hot one.
func (f *fleet) checkWorkspaces() {
	var hot []time.Time
	for _, b := range f.targets {
		for _, r := range b.Runs() {
			if !f.plan.Keyed && len(f.plan.Weights) == 0 {
				continue
			}
			want := workspaceOf(r.Key)
			if want == "hot" {
				hot = append(hot, r.At)
			}
			if f.plan.Keyed && r.Authorized || r.Workspace != want {
				f.violation("%s: %s arrived with workspace %q, with a key: %t", b.Name(), r.Key, r.Workspace, r.Authorized)
			}
		}
	}
	slices.SortFunc(hot, time.Time.Compare)
	first := 0
	for i, at := range hot {
		for at.Sub(hot[first]) >= hotWindow {
			first++
		}
		if i-first+1 > hotMaxRuns {
			f.violation("%d requests of the limited workspace ran in %v, at most %d are allowed", i-first+1, hotWindow, hotMaxRuns)
			return
		}
	}
}
