// SPDX-License-Identifier: Apache-2.0

package main

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
)

// accountCommand counts how requests ended, by service and route, and why those that
// were not served were lost.
type accountCommand struct {
	Files []string `arg:"" optional:"" help:"Logs in JSON; standard input if none is given." type:"existingfile"`
}

// Final lines about a request begin with these words.
const (
	lineAnswered = "entry: request answered"
	lineFailed   = "entry: request failed"
	lineRefused  = "entry: request refused"
	lineAttempt  = "entry: attempt"
	lineNoTarget = "entry: no target for the attempt"
)

// served is the reason of requests that got a good answer.
const served = "served"

// firstFailure is the least status that isn't a good answer.
const firstFailure = 400

// ending counts the requests of one route that ended for one reason.
type ending struct {
	Service string  `json:"service"`
	Route   string  `json:"route"`
	Reason  string  `json:"reason"`
	Count   int     `json:"count"`
	Share   float64 `json:"share"`
	// Example is the id of the first of them.
	Example string `json:"example"`
}

// history is what the logs say of one request.
type history struct {
	final    *line
	attempts []line
}

// Run reads the logs and prints the account, what happened most often first.
func (c *accountCommand) Run(out *output) error {
	requests := map[string]*history{}
	var order []string
	err := scanFiles(c.Files, `"request"`, func(l line) {
		id := l.text("request")
		h := requests[id]
		if h == nil {
			h = &history{}
			requests[id] = h
			order = append(order, id)
		}
		h.add(l)
	})
	if err != nil {
		return err
	}
	list := account(requests, order)
	return out.print(list, "%s", table(list))
}

// add takes in one line about the request.
func (h *history) add(l line) {
	switch msg := l.text("msg"); {
	case msg == lineAnswered, msg == lineFailed, msg == lineRefused:
		h.final = &l
	case strings.HasPrefix(msg, lineAttempt), msg == lineNoTarget:
		h.attempts = append(h.attempts, l)
	}
}

// reason says why the request ended as it did: what came of each of its attempts, in
// the order of time.
func (h *history) reason() string {
	if status, ok := h.final.fields["status"].(float64); ok && status < firstFailure {
		return served
	}
	slices.SortStableFunc(h.attempts, func(a, b line) int { return strings.Compare(a.text("time"), b.text("time")) })
	var parts []string
	for i := range h.attempts {
		parts = append(parts, h.attempts[i].outcome())
	}
	if len(parts) == 0 {
		return cmp.Or(h.final.text("error"), "status "+h.final.text("status"))
	}
	return strings.Join(parts, ", then ")
}

// outcome says what came of one attempt.
func (l *line) outcome() string {
	switch {
	case l.text("msg") == lineNoTarget:
		return l.text("error")
	case l.text("kind") != "":
		return l.text("kind")
	default:
		return "status " + l.text("status")
	}
}

// account counts the endings of all requests whose final line is in the logs.
func account(requests map[string]*history, order []string) []*ending {
	type key struct{ service, route, reason string }
	by := map[key]*ending{}
	all := 0
	for _, id := range order {
		h := requests[id]
		if h.final == nil {
			continue
		}
		all++
		k := key{
			service: h.final.text("service"),
			route:   h.final.text("route"),
			reason:  h.reason(),
		}
		if by[k] == nil {
			by[k] = &ending{
				Service: k.service,
				Route:   k.route,
				Reason:  k.reason,
				Example: id,
			}
		}
		by[k].Count++
	}
	list := make([]*ending, 0, len(by))
	for _, e := range by {
		e.Share = float64(e.Count) / float64(all)
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *ending) int {
		return cmp.Or(b.Count-a.Count, strings.Compare(a.Service+a.Route+a.Reason, b.Service+b.Route+b.Reason))
	})
	return list
}

// table returns the account in columns.
func table(list []*ending) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "requests\tshare\tservice\troute\treason\texample")
	for _, e := range list {
		fmt.Fprintf(w, "%d\t%.2f%%\t%s\t%s\t%s\t%s\n", e.Count, 100*e.Share, e.Service, e.Route, e.Reason, e.Example)
	}
	_ = w.Flush()
	return text.String()
}
