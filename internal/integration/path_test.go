// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

func TestRequestAndAnswerAreUnchanged(t *testing.T) {
	s := newSite(t)
	for range 3 {
		s.target("quotes", "a", 3)
	}
	s.publishTargets(nil)
	s.standardRoutes("quotes")
	n := s.node("a")
	s.allReady()
	large := strings.Repeat("x", 3<<20)
	cases := []struct {
		name   string
		method string
		path   string
		body   string
		want   []byte
	}{
		{
			name:   "read",
			method: http.MethodGet,
			path:   "/quotes/1",
			body:   "",
			want:   target.Echo(http.MethodGet, "/quotes/1", "read", nil),
		},
		{
			name:   "write",
			method: http.MethodPost,
			path:   "/quotes/1",
			body:   "price",
			want:   target.Echo(http.MethodPost, "/quotes/1", "write", []byte("price")),
		},
		{
			name:   "large body",
			method: http.MethodPost,
			path:   "/quotes/1",
			body:   large,
			want:   target.Echo(http.MethodPost, "/quotes/1", "large body", []byte(large)),
		},
		{
			name:   "document",
			method: http.MethodGet,
			path:   "/quotes/doc?size=5000000",
			body:   "",
			want:   target.Document("/quotes/doc", 5000000),
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := n.do(c.method, c.path, c.name, c.body)
			if r.err != nil || r.status != http.StatusOK || r.outcome != "done" {
				t.Fatalf("status %d outcome %q err %v", r.status, r.outcome, r.err)
			}
			if string(r.body) != string(c.want) {
				t.Fatalf("body of %d bytes differs from the %d expected", len(r.body), len(c.want))
			}
		})
	}
}

func TestRefusalsAreTypedAndNotRun(t *testing.T) {
	s := newSite(t)
	s.target("quotes", "a", 3)
	s.publishTargets(nil)
	s.standardRoutes("quotes")
	s.platform.Publish("workspaces", `{"workspaces":[{"id":"open"},{"id":"small","rate":0.001,"burst":1}]}`)
	n := s.node("a", withExtra("max_body = 1MiB"))
	s.allReady()
	cases := []struct {
		name      string
		method    string
		path      string
		body      string
		workspace string
		status    int
		code      string
	}{
		{
			name:      "no route",
			method:    http.MethodGet,
			path:      "/other",
			body:      "",
			workspace: "open",
			status:    404,
			code:      "no-route",
		},
		{
			name:      "method",
			method:    http.MethodDelete,
			path:      "/quotes/1",
			body:      "",
			workspace: "open",
			status:    405,
			code:      "method-not-allowed",
		},
		{
			name:      "trace",
			method:    http.MethodTrace,
			path:      "/quotes/1",
			body:      "",
			workspace: "open",
			status:    405,
			code:      "method-not-allowed",
		},
		{
			name:      "dot segment",
			method:    http.MethodGet,
			path:      "/quotes/%2e%2e/admin",
			body:      "",
			workspace: "open",
			status:    400,
			code:      "bad-path",
		},
		{
			name:      "backslash",
			method:    http.MethodGet,
			path:      "/quotes/..%5cadmin",
			body:      "",
			workspace: "open",
			status:    400,
			code:      "bad-path",
		},
		{
			name:      "large body",
			method:    http.MethodPost,
			path:      "/quotes/1",
			body:      strings.Repeat("x", 1<<20+1),
			workspace: "open",
			status:    413,
			code:      "body-too-large",
		},
		{
			name:      "workspace",
			method:    http.MethodGet,
			path:      "/quotes/1",
			body:      "",
			workspace: "stranger",
			status:    403,
			code:      "unknown-workspace",
		},
		{
			name:      "first of a small workspace",
			method:    http.MethodGet,
			path:      "/quotes/1",
			body:      "",
			workspace: "small",
			status:    200,
			code:      "",
		},
		{
			name:      "second of a small workspace",
			method:    http.MethodGet,
			path:      "/quotes/1",
			body:      "",
			workspace: "small",
			status:    429,
			code:      "rate-limit",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := n.do(c.method, c.path, c.name, c.body, "Plover-Workspace", c.workspace)
			if r.err != nil || r.status != c.status || !strings.Contains(string(r.body), c.code) {
				t.Fatalf("status %d body %.200s err %v", r.status, r.body, r.err)
			}
			if c.status == http.StatusOK {
				return
			}
			if r.outcome != "not-run" || s.runsOf(c.name) != 0 {
				t.Fatalf("outcome %q, ran %d times", r.outcome, s.runsOf(c.name))
			}
			if c.status == http.StatusTooManyRequests && r.header.Get("Retry-After") == "" {
				t.Fatal("no Retry-After")
			}
		})
	}
}

// Guards against refusing valid chunked requests, also on a reused connection.
func TestChunkedRequestsPass(t *testing.T) {
	_, _, n := oneTarget(t)
	client := newCaller()
	defer client.CloseIdleConnections()
	url := "http://" + n.entry + "/quotes/1"
	for i := range 30 {
		if r := send(client, http.MethodGet, url, "before", ""); r.status != http.StatusOK {
			t.Fatalf("status %d", r.status)
		}
		// net/http sends a body of unknown length in chunks.
		body := io.MultiReader(strings.NewReader("some"), strings.NewReader("thing"))
		req, err := http.NewRequest(http.MethodPost, url, body)
		if err != nil {
			t.Fatal(err)
		}
		res, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		want := target.Echo(http.MethodPost, "/quotes/1", "", []byte("something"))
		if err != nil || res.StatusCode != http.StatusOK || string(got) != string(want) {
			t.Fatalf("request %d: status %d body %q err %v", i, res.StatusCode, got, err)
		}
	}
}
