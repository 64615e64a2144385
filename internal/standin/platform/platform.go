// SPDX-License-Identifier: Apache-2.0

// Package platform is a stand-in for the platform's configuration service, for tests
// and the quick start. Nodes have read-only access. It can lag, answer from a
// stale replica, hang or be down.
package platform

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"ploverjunction.example/ploverjunction/internal/wire"
)

// Mode selects how the stand-in answers readers.
type Mode string

// Modes of the stand-in.
const (
	ModeGood Mode = "good"
	// ModeStale answers as of the time when the mode was set.
	ModeStale Mode = "stale"
	// ModeHang accepts calls and never answers.
	ModeHang Mode = "hang"
	// ModeDown closes connections without an answer.
	ModeDown Mode = "down"
)

// defaultWait is the longest wait of a watch that gives none.
const defaultWait = 25 * time.Second

// change is one published value and its time of publication.
type change struct {
	value *wire.Value
	at    time.Time
}

// Platform is the stand-in. It may be used concurrently.
type Platform struct {
	mu            sync.Mutex
	revision      uint64
	changes       []change
	changed       chan struct{}
	mode          Mode
	staleRevision uint64
	lag           time.Duration
	calls         atomic.Int64
	// era counts restores; versions are the operators' own version numbers by key, which a
	// restore doesn't reset.
	era      uint64
	versions map[string]uint64
}

// New returns a platform without values.
func New() *Platform {
	return &Platform{
		mode:     ModeGood,
		changed:  make(chan struct{}),
		versions: map[string]uint64{},
	}
}

// Publish sets the value of a key, as operators do, and returns the new revision.
func (p *Platform) Publish(key, value string) uint64 {
	return p.add(&wire.Value{
		Key:     key,
		Value:   value,
		Version: p.nextVersion(key),
	})
}

func (p *Platform) nextVersion(key string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions[key]++
	return p.versions[key]
}

// Snapshot is a snapshot of a platform.
type Snapshot struct {
	revision uint64
	changes  []change
}

// Snapshot returns a snapshot of all values.
func (p *Platform) Snapshot() Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Snapshot{
		revision: p.revision,
		changes:  slices.Clone(p.changes),
	}
}

// Restore resets the platform to a snapshot and begins a new era: later changes are lost,
// and their revisions are assigned again. Waiting watches end. It returns the last lost value
// of each key, for operators to publish again.
func (p *Platform) Restore(c Snapshot) []*wire.Value {
	p.mu.Lock()
	defer p.mu.Unlock()
	var lost []*wire.Value
	for _, ch := range p.changes {
		if slices.Contains(c.changes, ch) {
			continue
		}
		lost = slices.DeleteFunc(lost, func(v *wire.Value) bool { return v.GetKey() == ch.value.GetKey() })
		lost = append(lost, ch.value)
	}
	p.era++
	p.revision = c.revision
	p.changes = slices.Clone(c.changes)
	p.notifyWatches()
	return lost
}

// Republish publishes a lost value with its former version, unless the key has that version
// or a later one.
func (p *Platform) Republish(v *wire.Value) {
	p.mu.Lock()
	later := slices.ContainsFunc(p.changes, func(c change) bool {
		return c.value.GetKey() == v.GetKey() && c.value.GetVersion() >= v.GetVersion()
	})
	p.mu.Unlock()
	if later {
		return
	}
	p.add(&wire.Value{
		Key:     v.GetKey(),
		Value:   v.GetValue(),
		Deleted: v.GetDeleted(),
		Version: v.GetVersion(),
	})
}

// Delete removes a key and returns the new revision.
func (p *Platform) Delete(key string) uint64 {
	return p.add(&wire.Value{
		Key:     key,
		Deleted: true,
		Version: p.nextVersion(key),
	})
}

func (p *Platform) add(v *wire.Value) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	v.Revision = p.revision
	p.changes = append(p.changes, change{
		value: v,
		at:    time.Now(),
	})
	p.notifyWatches()
	return p.revision
}

func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetMode sets how readers are answered.
func (p *Platform) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.staleRevision = p.revision
	p.notifyWatches()
}

// SetModeAt is like SetMode, but ModeStale answers as of a given revision.
func (p *Platform) SetModeAt(m Mode, revision uint64) {
	p.SetMode(m)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleRevision = revision
}

// SetLag delays the visibility of each change by d.
func (p *Platform) SetLag(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = d
}

// Calls returns the number of calls by readers; a waiting watch counts as one.
func (p *Platform) Calls() int64 { return p.calls.Load() }

// visible returns the newest visible values after a revision, and a channel that is
// closed when there may be more.
func (p *Platform) visible(after uint64) (*wire.ValueList, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := &wire.ValueList{
		Era: p.era,
	}
	newest := map[string]*wire.Value{}
	for _, c := range p.changes {
		if p.mode == ModeStale && c.value.GetRevision() > p.staleRevision || time.Since(c.at) < p.lag {
			break
		}
		list.Revision = c.value.GetRevision()
		newest[c.value.GetKey()] = c.value
	}
	for _, v := range newest {
		if v.GetRevision() > after {
			list.Values = append(list.Values, v)
		}
	}
	slices.SortFunc(list.Values, func(a, b *wire.Value) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	return list, p.changed
}

// Handler serves readers below /v1/ and test control below /admin/.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values", p.values)
	mux.HandleFunc("GET /v1/watch", p.watch)
	mux.HandleFunc("PUT /admin/values/{key}", p.adminPut)
	mux.HandleFunc("DELETE /admin/values/{key}", p.adminDelete)
	mux.HandleFunc("POST /admin/mode/{mode}", p.adminMode)
	return mux
}

// failByMode fails a call in the modes that return no values and reports whether it did.
func (p *Platform) failByMode(r *http.Request) bool {
	p.calls.Add(1)
	p.mu.Lock()
	mode := p.mode
	p.mu.Unlock()
	switch mode {
	case ModeHang:
		<-r.Context().Done()
		return true
	case ModeDown:
		panic(http.ErrAbortHandler)
	default:
		return false
	}
}

func (p *Platform) values(w http.ResponseWriter, r *http.Request) {
	if p.failByMode(r) {
		return
	}
	list, _ := p.visible(0)
	writeList(w, list)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	if p.failByMode(r) {
		return
	}
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: want a revision", http.StatusBadRequest)
		return
	}
	// A reader of an earlier era is answered immediately.
	era, err := strconv.ParseUint(cmp.Or(r.URL.Query().Get("era"), "0"), 10, 64)
	if err != nil {
		http.Error(w, "era: want a number", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		wait = defaultWait
	}
	const checkInterval = 20 * time.Millisecond
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		list, changed := p.visible(after)
		if len(list.GetValues()) > 0 || list.GetEra() != era {
			writeList(w, list)
			return
		}
		// No notification is sent when a lagging change becomes visible.
		var lagged <-chan time.Time
		if p.lagging() {
			lagged = time.After(checkInterval)
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout.C:
			writeList(w, list)
			return
		case <-changed:
			if p.isDown() {
				panic(http.ErrAbortHandler)
			}
		case <-lagged:
		}
	}
}

func (p *Platform) lagging() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lag > 0
}

func (p *Platform) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == ModeDown
}

func writeList(w http.ResponseWriter, list *wire.ValueList) {
	b, err := protojson.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

func (p *Platform) adminPut(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeRevision(w, p.Publish(r.PathValue("key"), string(b)))
}

func (p *Platform) adminDelete(w http.ResponseWriter, r *http.Request) {
	writeRevision(w, p.Delete(r.PathValue("key")))
}

func (p *Platform) adminMode(w http.ResponseWriter, r *http.Request) {
	p.SetMode(Mode(r.PathValue("mode")))
	w.WriteHeader(http.StatusNoContent)
}

func writeRevision(w http.ResponseWriter, revision uint64) {
	_ = json.NewEncoder(w).Encode(struct {
		Revision uint64 `json:"revision"`
	}{
		Revision: revision,
	})
}
