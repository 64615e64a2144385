// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"net/http"
	"strings"
	"testing"

	"ploverjunction.example/ploverjunction/internal/standin/target"
)

func TestRequestAndAnswerPassWhole(t *testing.T) {
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
		{"read", http.MethodGet, "/quotes/1", "", target.Echo(http.MethodGet, "/quotes/1", "read", nil)},
		{"write", http.MethodPost, "/quotes/1", "price", target.Echo(http.MethodPost, "/quotes/1", "write", []byte("price"))},
		{"large body", http.MethodPost, "/quotes/1", large, target.Echo(http.MethodPost, "/quotes/1", "large body", []byte(large))},
		{"document", http.MethodGet, "/quotes/doc?size=5000000", "", target.Document("/quotes/doc", 5000000)},
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
		{"no route", http.MethodGet, "/other", "", "open", 404, "no-route"},
		{"method", http.MethodDelete, "/quotes/1", "", "open", 405, "method-not-allowed"},
		{"trace", http.MethodTrace, "/quotes/1", "", "open", 405, "method-not-allowed"},
		{"dot segment", http.MethodGet, "/quotes/%2e%2e/admin", "", "open", 400, "bad-path"},
		{"backslash", http.MethodGet, "/quotes/..%5cadmin", "", "open", 400, "bad-path"},
		{"large body", http.MethodPost, "/quotes/1", strings.Repeat("x", 1<<20+1), "open", 413, "body-too-large"},
		{"workspace", http.MethodGet, "/quotes/1", "", "stranger", 403, "unknown-workspace"},
		{"first of a small workspace", http.MethodGet, "/quotes/1", "", "small", 200, ""},
		{"second of a small workspace", http.MethodGet, "/quotes/1", "", "small", 429, "rate-limit"},
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
