// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"ploverjunction.example/ploverjunction/internal/standin/process"
	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// ctl runs ploverctl and returns its exit code and output.
func ctl(t *testing.T, args ...string) (int, string) {
	t.Helper()
	cmd := exec.Command(tool, args...)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

func file(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestTool(t *testing.T) {
	s := ejectionSite(t, 1, "")
	n := s.nodes[0]
	ops := n.proc.Load().Operator()
	cases := []struct {
		name string
		args []string
		exit int
		want string
	}{
		{
			name: "good folder",
			args: []string{"check", "../../examples/quickstart/published"},
			exit: 0,
			want: "good: 2 files, 1 services, 2 routes",
		},
		{
			name: "good settings",
			args: []string{"check", "../../examples/quickstart/ploverd.ini"},
			exit: 0,
			want: "good",
		},
		{
			name: "bad policy",
			args: []string{"check", file(t, "bad.json", `{"services":[{"name":"s","policy":{"sick":"score >"}}]}`)},
			exit: 1,
			want: "policy: sick:1:",
		},
		{
			name: "bad settings",
			args: []string{"check", file(t, "bad.ini", "[entry]\nlisten = nowhere\n")},
			exit: 1,
			want: "[node] data_hall: missing value",
		},
		{
			name: "empty folder",
			args: []string{"check", t.TempDir()},
			exit: 1,
			want: "no .json files",
		},
		{
			name: "status",
			args: []string{"status", "--node", ops},
			exit: 0,
			want: "ready, up for",
		},
		{
			name: "no node",
			args: []string{"status", "--node", "127.0.0.1:1"},
			exit: 2,
			want: "node 127.0.0.1:1",
		},
		{
			name: "explain",
			args: []string{"explain", "--node", ops, "/quotes/1"},
			exit: 0,
			want: "route read, class read, repeatable true",
		},
		{
			name: "explain no route",
			args: []string{"explain", "--node", ops, "/other"},
			exit: 0,
			want: "no route",
		},
		{
			name: "config",
			args: []string{"config", "show", "--node", ops},
			exit: 0,
			want: "routes at revision",
		},
		{
			name: "version",
			args: []string{"version"},
			exit: 0,
			want: "0.1.0",
		},
		{
			name: "no command",
			args: []string{"nonsense"},
			exit: 80,
			want: "unexpected argument",
		},
		{
			name: "help",
			args: []string{"--help"},
			exit: 0,
			want: "Exit codes",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			exit, out := ctl(t, c.args...)
			if exit != c.exit || !strings.Contains(out, c.want) {
				t.Fatalf("exit %d, want %d; output:\n%s", exit, c.exit, out)
			}
		})
	}
	_, out := ctl(t, "--output", "json", "status", "--node", ops)
	var list []map[string]any
	if err := json.Unmarshal([]byte(out), &list); err != nil || len(list) != 1 {
		t.Fatalf("invalid JSON: %v\n%s", err, out)
	}
	if exit, out := ctl(t, "drain", "--node", ops); exit != 0 {
		t.Fatalf("drain: exit %d: %s", exit, out)
	}
	eventually(t, "not ready", func() bool {
		exit, _ := ctl(t, "status", "--node", ops)
		return exit != 0
	})
	n.awaitExit()
}

// Guards against a daemon that opens ports although its settings are invalid.
func TestDaemonChecksItsSettings(t *testing.T) {
	for _, args := range [][]string{{"--check"}, {}} {
		cmd := exec.Command(daemon, append(args, file(t, "bad.ini", "[entry]\nlisten = 127.0.0.1:0\nspeed = 9\n"))...)
		out, _ := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != 2 || !strings.Contains(string(out), "[entry] speed: unknown key") {
			t.Errorf("exit %d: %s", cmd.ProcessState.ExitCode(), out)
		}
		if strings.Contains(string(out), "serving") {
			t.Error("the daemon opened ports")
		}
	}
}

// Guards against a directory source that needs a restart to apply a changed file, or
// that applies an invalid one.
func TestDirectorySource(t *testing.T) {
	s := newSite(t)
	b := s.target("quotes", "a", 3)
	dir := t.TempDir()
	put := func(name, text string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	put("pool.json", fmt.Sprintf(`{"services":[{"name":"quotes"}],"targets":[{"service":"quotes","address":%q,"slots":3,"connections":9}]}`, b.proxy.Addr()))
	p, err := process.Start(daemon, t.TempDir(), fmt.Sprintf(`
[node]
data_hall = a
[entry]
listen = 127.0.0.1:0
[operator]
listen = 127.0.0.1:0
[source]
kind = directory
directory = %s
[log]
format = json
`, dir))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	status := func() int {
		return send(callers, http.MethodGet, "http://"+p.Entry()+"/quotes/1", "k", "").status
	}
	eventually(t, "ready", p.Ready)
	if got := status(); got != http.StatusNotFound {
		t.Fatalf("status %d without a route", got)
	}
	put("routes.json", routesDoc(1))
	eventually(t, "the new route", func() bool { return status() == http.StatusOK })
	put("routes.json", "{")
	eventually(t, "the refusal", func() bool { return len(p.Status().Config.Refused) == 1 })
	if got := status(); got != http.StatusOK {
		t.Fatalf("status %d after a bad file", got)
	}
	if err := os.Remove(filepath.Join(dir, "routes.json")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the removal of the route", func() bool { return status() == http.StatusNotFound })
}

// Guards against a trace that misses or misorders lines of a request in the logs of
// several nodes, whatever text is between or before them.
func TestTraceOfRequestAcrossNodes(t *testing.T) {
	one := file(t, "one.log", `{"level":"info","msg":"dispatch: desk","time":"2026-01-01T00:00:00.100Z"}
{"level":"warning","msg":"entry: request failed","request":"r1","status":502,"time":"2026-01-01T00:00:00.300Z"}
{"level":"info","msg":"entry: request answered","request":"r12","time":"2026-01-01T00:00:00.300Z"}
not JSON, names r1
`)
	two := file(t, "two.log", `host-2 {"level":"warning","msg":"entry: attempt failed","request":"r1","target":"t7","time":"2026-01-01T00:00:00.200Z"}
`)
	exit, out := ctl(t, "trace", "r1", one, two)
	first, second := strings.Index(out, "attempt failed  target=t7"), strings.Index(out, "request failed  status=502")
	if exit != 0 || first < 0 || second < first || strings.Contains(out, "answered") || strings.Count(out, "\n") != 2 {
		t.Errorf("exit %d:\n%s", exit, out)
	}
	if exit, out := ctl(t, "trace", "nobody", one); exit != 1 {
		t.Errorf("exit %d:\n%s", exit, out)
	}
	exit, out = ctl(t, "--output", "json", "trace", "r1", one, two)
	var lines []map[string]any
	if err := json.Unmarshal([]byte(out), &lines); exit != 0 || err != nil || len(lines) != 2 {
		t.Errorf("exit %d, err %v:\n%s", exit, err, out)
	}
}

// Guards against an account with wrong counts of outcomes by route or of reasons for
// failed requests. Requests without a final line are not counted.
func TestAccountOfFailedRequests(t *testing.T) {
	log := file(t, "node.log", `{"msg":"entry: request answered","request":"a","service":"quotes","route":"r","status":200,"time":"1"}
{"msg":"entry: request answered","request":"b","service":"quotes","route":"r","status":200,"time":"1"}
{"msg":"entry: attempt answered","request":"c","status":500,"time":"3"}
{"msg":"entry: attempt failed","request":"c","kind":"deadline","time":"2"}
{"msg":"entry: request failed","request":"c","service":"quotes","route":"r","status":504,"time":"4"}
{"msg":"entry: no target for the attempt","request":"d","error":"entry: no target: retry budget","time":"1"}
{"msg":"entry: request failed","request":"d","service":"quotes","route":"r","status":503,"time":"2"}
{"msg":"entry: attempt failed","request":"e","kind":"reset","time":"2"}
host-2 {"msg":"entry: request refused","request":"f","error":"entry: no-route (not-run)","status":404,"time":"2"}
`)
	exit, out := ctl(t, "--output", "json", "account", log)
	var list []struct {
		Reason  string  `json:"reason"`
		Count   int     `json:"count"`
		Share   float64 `json:"share"`
		Example string  `json:"example"`
	}
	if err := json.Unmarshal([]byte(out), &list); exit != 0 || err != nil {
		t.Fatalf("exit %d, err %v:\n%s", exit, err, out)
	}
	want := map[string]string{
		"served":                         "a",
		"deadline, then status 500":      "c",
		"entry: no target: retry budget": "d",
		"entry: no-route (not-run)":      "f",
	}
	if len(list) != len(want) || list[0].Reason != "served" || list[0].Count != 2 || list[0].Share != 0.4 {
		t.Errorf("got %+v", list)
	}
	for _, e := range list {
		if want[e.Reason] != e.Example {
			t.Errorf("reason %q with example %q, want %q", e.Reason, e.Example, want[e.Reason])
		}
	}
	if _, out := ctl(t, "account", log); !strings.Contains(out, "40.00%") {
		t.Errorf("no share of requests in:\n%s", out)
	}
}

// Guards against missing or duplicate log lines: one for each request's final answer
// and one for each failed attempt.
func TestEveryRequestIsLogged(t *testing.T) {
	s, b, n := oneTarget(t)
	good := n.do(http.MethodPost, "/quotes/1", "good", "")
	b.SetMode(target.Mode{
		ResetAfter: true,
	})
	bad := n.do(http.MethodPost, "/quotes/1", "bad", "")
	if s.runsOf("good") != 1 || good.status != http.StatusOK || bad.outcome != "unknown" {
		t.Fatalf("status %d, outcome %q", good.status, bad.outcome)
	}
	count := func(id, msg string) int {
		lines := 0
		for text := range strings.SplitSeq(n.proc.Load().Log(), "\n") {
			if strings.Contains(text, `"request":"`+id+`"`) && strings.Contains(text, msg) {
				lines++
			}
		}
		return lines
	}
	goodID, badID := good.header.Get("Plover-Request-Id"), bad.header.Get("Plover-Request-Id")
	eventually(t, "the lines", func() bool {
		return count(goodID, "request answered") == 1 && count(badID, "request failed") == 1
	})
	if count(goodID, "") != 1 || count(badID, "attempt failed") != 1 {
		t.Errorf("%d lines for the good request, %d for the failed attempt", count(goodID, ""), count(badID, "attempt failed"))
	}
}
