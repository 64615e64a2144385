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

// Parameters of callers.
const (
	// callTimeout bounds a call. It exceeds every route's deadline, so that a node that
	// does not answer is detected.
	callTimeout = 10 * time.Second
	// writeShare is the share of calls that are not repeatable.
	writeShare = 0.5
	// callPause is the maximum pause between two calls of one caller.
	callPause = 30 * time.Millisecond
	// pollInterval is the interval at which each node is polled for the newest route.
	pollInterval = 100 * time.Millisecond
)

// record is one call with its result and the process that received it.
type record struct {
	history.Call
	node    int
	process *incarnation
	started time.Duration
	ended   time.Duration
	err     error
	// refused reports whether the connection was refused, so that nothing was sent.
	refused bool
	// retryAfter is the header Retry-After of the response, refusal the body of one with an error status.
	retryAfter string
	refusal    string
}

type reply struct {
	status  int
	outcome string
	// retryAfter is the header Retry-After.
	retryAfter string
	body       string
	err        error
}

// call sends the request identified by key; shown is the API key, in plans without
// keys the workspace, "" for none.
func call(ctx context.Context, c *http.Client, method, url, key, shown string) reply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
		req.Header.Set("Plover-Workspace", shown)
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
		status:     res.StatusCode,
		outcome:    res.Header.Get("Plover-Outcome"),
		retryAfter: res.Header.Get("Retry-After"),
		body:       string(b),
		err:        err,
	}
}

// newClient returns a client that reuses connections. net/http retries a GET by
// itself when a reused connection turns out to be closed, but never a POST, so
// requests that are not repeatable are sent once.
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
		method := randomMethod(rng)
		out = append(out, f.makeCall(c, n, method, fmt.Sprintf("%s-%d", name, i)))
		time.Sleep(time.Duration(rng.Int64N(int64(callPause))))
	}
	return out
}

func randomMethod(rng *rand.Rand) string {
	if rng.Float64() < writeShare {
		return http.MethodPost
	}
	return http.MethodGet
}

// makeCall makes one call to a node and records it. The end of the load does not cancel
// it, so that every call gets its answer.
func (f *fleet) makeCall(c *http.Client, n *node, method, key string) record {
	l := n.current.Load()
	path, query, shown := "/quotes/1", "", f.key()
	if strings.HasPrefix(key, competitorPrefix) {
		path, query, shown = "/tasks/1", "?work="+competitorWork.String(), workspaceOf(key)
	}
	started := time.Since(f.started)
	r := call(context.Background(), c, method, "http://"+l.proc.Entry()+path+query, key, shown)
	out := record{
		Call: history.Call{
			Key:        key,
			Repeatable: method == http.MethodGet,
			Outcome:    r.outcome,
			Status:     r.status,
			Complete:   r.err == nil,
			Correct:    r.status != http.StatusOK || r.body == string(target.Echo(method, path, key, nil)),
		},
		node:       n.index,
		process:    l,
		started:    started,
		ended:      time.Since(f.started),
		err:        r.err,
		refused:    errors.Is(r.err, syscall.ECONNREFUSED),
		retryAfter: r.retryAfter,
	}
	if r.status != http.StatusOK {
		out.refusal = r.body
	}
	return out
}

// pollRoutes polls a node for the newest published route. A process that has served it
// must not lose it, and an undisturbed one must serve it within propagationTime.
func (f *fleet) pollRoutes(ctx context.Context, n *node) {
	c := newClient()
	defer c.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		f.pollRoutesOnce(ctx, c, n, i)
		time.Sleep(pollInterval)
	}
}

func (f *fleet) pollRoutesOnce(ctx context.Context, c *http.Client, n *node, i int) {
	l := n.current.Load()
	newest, published := f.newest()
	started := time.Since(f.started)
	// The query makes each poll a request of its own: nodes hold a request under which targets crashed.
	r := call(ctx, c, http.MethodGet, fmt.Sprintf("http://%s/mark-%d?poll=%d", l.proc.Entry(), newest, i), fmt.Sprintf("look-%d-%d", n.index, i), f.key())
	l.lastPoll.Store(fmt.Sprintf("status %d, error %v, %s", r.status, r.err, r.body))
	switch {
	case r.err != nil:
	case r.status == http.StatusOK:
		l.newestRoute.Store(max(l.newestRoute.Load(), int64(newest)))
	case r.status != http.StatusNotFound:
		// Other errors do not show which routes are in force.
	case l.newestRoute.Load() >= int64(newest):
		f.violation("node %d: route mark-%d was in force and has been lost", n.index, newest)
	case time.Since(published) > propagationTime && f.undisturbedSince(n, started-propagationTime) && !l.stopped.Load():
		f.violation("node %d: route mark-%d isn't in force %v after its publication", n.index, newest, time.Since(published).Round(time.Millisecond))
	}
}

// propagationTime is the time within which undisturbed nodes must apply a published
// value, as the project promises.
const propagationTime = 5 * time.Second

// undisturbedSince reports whether no step is under way and none has acted on the node or
// the platform since at.
func (f *fleet) undisturbedSince(n *node, at time.Duration) bool {
	return f.active.Load() == 0 && time.Duration(n.lastDisturbed.Load()) < at && time.Duration(f.platformDisturbed.Load()) < at
}
