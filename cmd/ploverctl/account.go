// SPDX-License-Identifier: Apache-2.0

package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
)

// accountCommand counts the results of requests by service and route, and why requests
// failed.
type accountCommand struct {
	Files      []string `arg:"" optional:"" help:"Logs in JSON; standard input if none is given." type:"existingfile"`
	Workspaces bool     `help:"Count each workspace separately."`
	Workspace  string   `help:"Count the requests of one workspace only." placeholder:"NAME"`
}

// Messages of the log lines about requests and attempts; msgAttempt is a prefix.
const (
	msgAnswered = "entry: request answered"
	msgFailed   = "entry: request failed"
	msgRefused  = "entry: request refused"
	msgAttempt  = "entry: attempt"
	msgNoTarget = "entry: no target for the attempt"
)

// served is the reason of requests with a good answer.
const served = "served"

// minFailureStatus is the lowest status that isn't a good answer.
const minFailureStatus = 400

// resultCount counts the requests of one route that ended for the same reason.
type resultCount struct {
	Workspace string  `json:"workspace,omitempty"`
	Service   string  `json:"service"`
	Route     string  `json:"route"`
	Reason    string  `json:"reason"`
	Count     int     `json:"count"`
	Share     float64 `json:"share"`
	// Example is the ID of the first of them.
	Example string `json:"example"`
}

// requestLog holds the log lines of one request.
type requestLog struct {
	final    *line
	attempts []line
}

// Run reads the logs and prints the counts, the most frequent result first.
func (c *accountCommand) Run(out *output) error {
	requests := map[string]*requestLog{}
	var order []string
	err := scanFiles(c.Files, `"request"`, func(l line) {
		id := l.text("request")
		h := requests[id]
		if h == nil {
			h = &requestLog{}
			requests[id] = h
			order = append(order, id)
		}
		h.add(l)
	})
	if err != nil {
		return err
	}
	list := c.account(requests, order)
	return out.print(list, "%s", table(list, c.Workspaces))
}

// add records one line about the request.
func (h *requestLog) add(l line) {
	switch msg := l.text("msg"); {
	case msg == msgAnswered, msg == msgFailed, msg == msgRefused:
		h.final = &l
	case strings.HasPrefix(msg, msgAttempt), msg == msgNoTarget:
		h.attempts = append(h.attempts, l)
	}
}

// reason returns why the request ended as it did: the outcome of each of its attempts, by
// time.
func (h *requestLog) reason() string {
	if status, ok := h.final.fields["status"].(float64); ok && status < minFailureStatus {
		return served
	}
	slices.SortStableFunc(h.attempts, func(a, b line) int { return strings.Compare(a.text("time"), b.text("time")) })
	var parts []string
	for i := range h.attempts {
		parts = append(parts, h.attempts[i].outcome())
	}
	if len(parts) == 0 {
		return cmp.Or(h.final.refusal(), h.final.text("error"), "status "+h.final.text("status"))
	}
	return strings.Join(parts, ", then ")
}

// refusal returns why a request was refused before any attempt, "" if the line has no reason.
func (l *line) refusal() string {
	if by := l.text("by"); by != "" {
		return l.text("code") + " by " + by
	}
	return l.text("code")
}

// outcome returns the outcome of one attempt.
func (l *line) outcome() string {
	switch {
	case l.text("msg") == msgNoTarget:
		return l.text("error")
	case l.text("kind") != "":
		return l.text("kind")
	default:
		return "status " + l.text("status")
	}
}

// account counts the results of all requests whose final line is in the logs.
func (c *accountCommand) account(requests map[string]*requestLog, order []string) []*resultCount {
	type key struct{ workspace, service, route, reason string }
	counts := map[key]*resultCount{}
	all := 0
	for _, id := range order {
		h := requests[id]
		if h.final == nil || c.Workspace != "" && h.final.text("workspace") != c.Workspace {
			continue
		}
		all++
		k := key{
			service: h.final.text("service"),
			route:   h.final.text("route"),
			reason:  h.reason(),
		}
		if c.Workspaces {
			k.workspace = h.final.text("workspace")
		}
		if counts[k] == nil {
			counts[k] = &resultCount{
				Workspace: k.workspace,
				Service:   k.service,
				Route:     k.route,
				Reason:    k.reason,
				Example:   id,
			}
		}
		counts[k].Count++
	}
	list := make([]*resultCount, 0, len(counts))
	for _, e := range counts {
		e.Share = float64(e.Count) / float64(all)
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *resultCount) int {
		return cmp.Or(b.Count-a.Count, strings.Compare(a.Workspace+a.Service+a.Route+a.Reason, b.Workspace+b.Service+b.Route+b.Reason))
	})
	return list
}

// table returns the counts as a table, with a column of workspaces if they are counted separately.
func table(list []*resultCount, workspaces bool) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	head := "requests\tshare\t"
	if workspaces {
		head += "workspace\t"
	}
	fmt.Fprintln(w, head+"service\troute\treason\texample")
	for _, e := range list {
		fmt.Fprintf(w, "%d\t%.2f%%\t", e.Count, 100*e.Share)
		if workspaces {
			fmt.Fprintf(w, "%s\t", e.Workspace)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", e.Service, e.Route, e.Reason, e.Example)
	}
	_ = w.Flush()
	return text.String()
}
