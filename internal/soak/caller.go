// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"ploverjunction.example/ploverjunction/internal/history"
	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// Times and shares of callers.
const (
	// callTime bounds a call: longer than the deadline of each route, so that a
	// node which gives no answer is seen.
	callTime = 10 * time.Second
	// writeShare is the share of calls that can't be repeated.
	writeShare = 0.5
	// callPause is the greatest pause between two calls of one caller.
	callPause = 30 * time.Millisecond
	// lookInterval is how often each node is asked for the published routes.
	lookInterval = 100 * time.Millisecond
)

// record is one call with what is needed to judge how it ended.
type record struct {
	history.Call
	node  int
	life  *life
	begun time.Duration
	ended time.Duration
	err   error
	// refused is set if no connection could be opened, so that nothing was sent.
	refused bool
}

// reply is an answer.
type reply struct {
	status  int
	outcome string
	body    string
	err     error
}

// call sends one request; key names it, and shown is the key of its workspace, "" for none.
func call(ctx context.Context, c *http.Client, method, url, key, shown string) reply {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(""))
	if err != nil {
		return reply{
			err: err,
		}
	}
	req.Header.Set(target.HeaderKey, key)
	if shown != "" {
		req.Header.Set("Authorization", "Bearer "+shown)
	}
	res, err := c.Do(req)
	if err != nil {
		return reply{
			err: err,
		}
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return reply{
		status:  res.StatusCode,
		outcome: res.Header.Get("Plover-Outcome"),
		body:    string(b),
		err:     err,
	}
}

// newClient returns a client that keeps its connections open and uses them until
// the process at their other end is gone. Go's client itself sends a GET again when
// a kept connection turns out to be closed, never a POST: what can't be repeated is
// sent once.
func newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 8,
		},
	}
}

// caller sends requests to random nodes until the context ends.
func (f *fleet) caller(ctx context.Context, name string, rng *rand.Rand) []record {
	c := newClient()
	defer c.CloseIdleConnections()
	var out []record
	for i := 0; ctx.Err() == nil; i++ {
		n := f.nodes[rng.IntN(len(f.nodes))]
		method := http.MethodGet
		if rng.Float64() < writeShare {
			method = http.MethodPost
		}
		out = append(out, f.one(c, n, method, fmt.Sprintf("%s-%d", name, i)))
		time.Sleep(time.Duration(rng.Int64N(int64(callPause))))
	}
	return out
}

// one makes one call to a node and records it. It isn't bound to the end of the
// run: each call gets its answer.
func (f *fleet) one(c *http.Client, n *node, method, key string) record {
	l := n.life.Load()
	path := "/quotes/1"
	begun := time.Since(f.begun)
	r := call(context.Background(), c, method, "http://"+l.proc.Entry()+path, key, f.key())
	return record{
		Call: history.Call{
			Key:        key,
			Repeatable: method == http.MethodGet,
			Outcome:    r.outcome,
			Status:     r.status,
			Whole:      r.err == nil,
			Right:      r.status != http.StatusOK || r.body == string(target.Echo(method, path, key, nil)),
		},
		node:    n.index,
		life:    l,
		begun:   begun,
		ended:   time.Since(f.begun),
		err:     r.err,
		refused: errors.Is(r.err, syscall.ECONNREFUSED),
	}
}

// look asks a node again and again for the newest published route. A process that
// has served it once must not lose it, and one that nothing harmed must have it
// soon.
func (f *fleet) look(ctx context.Context, n *node) {
	c := newClient()
	defer c.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		f.lookOnce(ctx, c, n, i)
		time.Sleep(lookInterval)
	}
}

func (f *fleet) lookOnce(ctx context.Context, c *http.Client, n *node, i int) {
	l := n.life.Load()
	newest, published := f.newest()
	begun := time.Since(f.begun)
	r := call(ctx, c, http.MethodGet, fmt.Sprintf("http://%s/mark-%d", l.proc.Entry(), newest), fmt.Sprintf("look-%d-%d", n.index, i), f.key())
	switch {
	case r.err != nil:
	case r.status == http.StatusOK:
		l.known.Store(max(l.known.Load(), int64(newest)))
	case r.status != http.StatusNotFound:
		// A refusal says nothing of the routes in force.
	case l.known.Load() >= int64(newest):
		f.broken("node %d: route mark-%d was in force and is gone", n.index, newest)
	case time.Since(published) > forceTime && f.calmSince(n, begun-forceTime) && !l.stopped.Load():
		f.broken("node %d: route mark-%d isn't in force %v after its publication", n.index, newest, time.Since(published).Round(time.Millisecond))
	}
}

// forceTime is within which what is published is in force on nodes that nothing
// harms: the project's promise.
const forceTime = 5 * time.Second

// calmSince reports whether nothing that acts on a node or on the platform has
// happened since a moment.
func (f *fleet) calmSince(n *node, at time.Duration) bool {
	return f.active.Load() == 0 && time.Duration(n.touched.Load()) < at && time.Duration(f.platformTouched.Load()) < at
}
