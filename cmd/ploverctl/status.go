// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"ploverjunction.example/ploverjunction/internal/operator"
)

type statusCommand struct {
	Node []string `required:"" placeholder:"IP:PORT" help:"Operators' address of a node; may be given more than once."`
}

// notReadyError describes a node that is not ready for callers.
type notReadyError struct {
	node   string
	reason string
}

// Error names the node and the reason.
func (e *notReadyError) Error() string {
	return fmt.Sprintf("ploverctl: node %s is not ready: %s", e.node, e.reason)
}

// Run prints the state of each node. It returns an error for the last node that isn't
// ready.
func (c *statusCommand) Run(out *output) error {
	var last error
	var all []*operator.Status
	var text strings.Builder
	for _, n := range c.Node {
		s := &operator.Status{}
		if err := call(n, http.MethodGet, "/status", nil, s); err != nil {
			return err
		}
		if !s.Ready {
			last = &notReadyError{
				node:   n,
				reason: s.Reason,
			}
		}
		all = append(all, s)
		writeStatus(&text, s)
	}
	if err := out.print(all, "%s", text.String()); err != nil {
		return err
	}
	return last
}

// position returns the revision, with its era if the platform was ever restored.
func position(c *operator.ConfigStatus) string {
	if c.Era == 0 {
		return fmt.Sprintf("revision %d", c.Revision)
	}
	return fmt.Sprintf("revision %d of era %d", c.Revision, c.Era)
}

func writeStatus(b *strings.Builder, s *operator.Status) {
	ready := "ready"
	if !s.Ready {
		ready = "not ready: " + s.Reason
	}
	fmt.Fprintf(b, "node %s in %s: %s, up for %s, %d in flight\n", s.Node, s.DataHall, ready, s.UpFor, s.InFlight)
	fmt.Fprintf(b, "  configuration: %s, %d services, %d routes, %d workspaces, platform %s\n",
		position(&s.Config), s.Config.Services, s.Config.Routes, s.Config.Workspaces, age(s.Config.PlatformAgeMS))
	for _, r := range s.Config.Refused {
		fmt.Fprintf(b, "  refused: %s at revision %d: %s\n", r.Key, r.Revision, r.Reason)
	}
	for _, key := range s.Config.Ahead {
		fmt.Fprintf(b, "  ahead of the platform, which was restored: %s\n", key)
	}
	for _, hall := range s.Config.Evacuated {
		fmt.Fprintf(b, "  evacuated: data hall %s\n", hall)
	}
	live := 0
	for _, m := range s.Members {
		if m.Live {
			live++
		}
	}
	fmt.Fprintf(b, "  members: %d, %d live\n", len(s.Members), live)
	writeTraffic(b, s)
	for i := range s.Services {
		writeService(b, &s.Services[i])
	}
	for i := range s.Limits {
		writeLimit(b, &s.Limits[i])
	}
	for i := range s.Quarantine {
		writeQuarantine(b, &s.Quarantine[i])
	}
	for i := range s.Signals {
		writeSignal(b, &s.Signals[i])
	}
	for i := range s.TargetLimits {
		writeTargetLimit(b, &s.TargetLimits[i])
	}
	for i := range s.TargetLoads {
		writeTargetLoad(b, &s.TargetLoads[i])
	}
}

// writeTargetLoad writes the load of a target with waiting requests or with work of others.
func writeTargetLoad(b *strings.Builder, l *operator.TargetLoadStatus) {
	if l.Waiting == 0 && l.Foreign == 0 {
		return
	}
	granted := ""
	if l.Dispatcher {
		granted = fmt.Sprintf(", %d granted here are under way, %d slots are left to others", l.InFlight, l.Foreign)
	}
	fmt.Fprintf(b, "  target %s of %s: reports %d running and %d waiting with %d slots, %s%s\n",
		l.Target, l.Service, l.Running, l.Waiting, l.Slots, age(l.AgeMS), granted)
}

// writeTraffic writes the bytes of each purpose, and the causes of connections, on one line each.
func writeTraffic(b *strings.Builder, s *operator.Status) {
	purpose := ""
	for _, t := range s.Traffic {
		if t.Purpose != purpose {
			if purpose != "" {
				b.WriteString("\n")
			}
			purpose = t.Purpose
			fmt.Fprintf(b, "  bytes for %s:", purpose)
		}
		fmt.Fprintf(b, " %s %d", t.Scope, t.Bytes)
	}
	if purpose != "" {
		b.WriteString("\n")
	}
	if len(s.Connections) == 0 {
		return
	}
	b.WriteString("  connections to targets:")
	for _, c := range s.Connections {
		fmt.Fprintf(b, " %s %d", c.Cause, c.Count)
	}
	b.WriteString("\n")
}

func writeTargetLimit(b *strings.Builder, l *operator.TargetLimitStatus) {
	granted := ""
	if l.Dispatcher {
		granted = fmt.Sprintf(", granted here %d times in 4 s", l.Granted)
	}
	fmt.Fprintf(b, "  target %s of %s: limit %g a second for the fleet, told to %s, %s%s\n",
		l.Target, l.Service, l.Rate, l.By, age(l.AgeMS), granted)
}

func writeSignal(b *strings.Builder, n *operator.SignalStatus) {
	state := "leaves"
	if !n.Draining {
		state = "wants nothing for " + (time.Duration(n.BackoffMS) * time.Millisecond).String()
	}
	fmt.Fprintf(b, "  target %s of %s told this node that it %s\n", n.Target, n.Service, state)
}

func writeQuarantine(b *strings.Builder, q *operator.QuarantineStatus) {
	since := (time.Duration(q.AgeMS) * time.Millisecond).Round(time.Second)
	state := "may run"
	if q.WaitMS > 0 {
		state = "refused for " + (time.Duration(q.WaitMS) * time.Millisecond).Round(time.Second).String()
	}
	fmt.Fprintf(b, "  request %s: %d targets ended under it, the last %s ago, %s\n", q.Fingerprint, q.Crashes, since, state)
}

func writeLimit(b *strings.Builder, l *operator.LimitStatus) {
	fmt.Fprintf(b, "  workspace %s: limit %.1f a second, %.1f asked here, %d in reserve, %.1f tokens and %.1f kept back at %s, %s\n",
		l.Workspace, l.Rate, l.RequestRate, l.Reserve, l.Tokens, l.Withheld, l.Allocator, age(l.AgeMS))
}

func writeService(b *strings.Builder, s *operator.ServiceStatus) {
	fmt.Fprintf(b, "  service %s: %.1f of %.1f slots serve, floor %.1f, %d kept by the floor, %d targets used here\n",
		s.Name, s.Serving, s.Capacity, s.Floor, s.KeptByFloor, s.Used)
	for _, t := range s.Targets {
		if t.Phase == "healthy" && !t.Draining {
			continue
		}
		state := t.Phase
		if t.Draining {
			state += ", leaving"
		}
		fmt.Fprintf(b, "    target %s: %s, score %.1f, warmth %.2f\n", t.Address, state, t.Score, t.Warmth)
	}
}

func age(ms int64) string {
	if ms < 0 {
		return "never heard"
	}
	return "heard " + (time.Duration(ms) * time.Millisecond).Round(time.Millisecond).String() + " ago"
}

type explainCommand struct {
	Node   string `required:"" placeholder:"IP:PORT" help:"Operators' address of a node."`
	Path   string `arg:"" help:"Path of the request."`
	Method string `default:"GET" help:"Method of the request."`
	Host   string `help:"Host of the request."`
}

// Run prints where the request would go.
func (c *explainCommand) Run(out *output) error {
	x := &operator.Explanation{}
	err := call(c.Node, http.MethodGet, "/explain", url.Values{
		"path":   {c.Path},
		"method": {c.Method},
		"host":   {c.Host},
	}, x)
	if err != nil {
		return err
	}
	var b strings.Builder
	if x.Match != "route" {
		fmt.Fprintf(&b, "no route: match %s\n", x.Match)
		return out.print(x, "%s", b.String())
	}
	fmt.Fprintf(&b, "route %s, class %s, repeatable %t, deadline %s\n", x.Route, x.Class, x.Repeatable, x.Deadline)
	if x.Service != nil {
		writeService(&b, x.Service)
	}
	return out.print(x, "%s", b.String())
}

type configCommand struct {
	Show configShowCommand `cmd:"" help:"Show the revisions in force and the refused values."`
}

type configShowCommand struct {
	Node string `required:"" placeholder:"IP:PORT" help:"Operators' address of a node."`
}

// configView is what "config show" prints as JSON.
type configView struct {
	Config    operator.ConfigStatus `json:"config"`
	Revisions map[string]uint64     `json:"revisions"`
}

// Run prints the configuration in force on a node.
func (c *configShowCommand) Run(out *output) error {
	s := &operator.Status{}
	if err := call(c.Node, http.MethodGet, "/status", nil, s); err != nil {
		return err
	}
	var b strings.Builder
	for key, rev := range s.Revisions {
		fmt.Fprintf(&b, "%s at revision %d\n", key, rev)
	}
	for _, r := range s.Config.Refused {
		fmt.Fprintf(&b, "refused: %s at revision %d: %s\n", r.Key, r.Revision, r.Reason)
	}
	return out.print(configView{
		Config:    s.Config,
		Revisions: s.Revisions,
	}, "%s", b.String())
}

type drainCommand struct {
	Node string `required:"" placeholder:"IP:PORT" help:"Operators' address of a node."`
}

// Run starts the planned stop of a node.
func (c *drainCommand) Run(out *output) error {
	if err := call(c.Node, http.MethodPost, "/drain", nil, nil); err != nil {
		return err
	}
	return out.print(struct {
		Draining string `json:"draining"`
	}{
		Draining: c.Node,
	}, "node %s is draining\n", c.Node)
}
