// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"ploverjunction.example/ploverjunction/internal/operator"
)

type followCommand struct {
	Node     string        `required:"" placeholder:"IP:PORT" help:"Operators' address of a node."`
	Interval time.Duration `default:"500ms" aliases:"beat" help:"Time between two reads of the status."`
}

// event is one state change on a node.
type event struct {
	At     time.Time `json:"at"`
	Object string    `json:"object"`
	From   string    `json:"from"`
	To     string    `json:"to"`
}

// Run prints changes until it is interrupted.
func (c *followCommand) Run(out *output) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	tick := time.NewTicker(c.Interval)
	defer tick.Stop()
	old := map[string]string{}
	for {
		s := &operator.Status{}
		if err := call(c.Node, http.MethodGet, "/status", nil, s); err != nil {
			return err
		}
		current := states(s)
		for object, state := range current {
			if err := report(out, old, object, state); err != nil {
				return err
			}
		}
		old = current
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func report(out *output, old map[string]string, object, state string) error {
	if old[object] == state {
		return nil
	}
	e := event{
		At:     time.Now(),
		Object: object,
		From:   old[object],
		To:     state,
	}
	return out.print(e, "%s %s: %s -> %s\n", e.At.Format(time.TimeOnly), e.Object, e.From, e.To)
}

// states returns the states that follow reports, by object.
func states(s *operator.Status) map[string]string {
	out := map[string]string{
		"node":     fmt.Sprintf("ready %t %s", s.Ready, s.Reason),
		"revision": position(&s.Config),
	}
	for _, svc := range s.Services {
		for _, t := range svc.Targets {
			state := t.Phase
			if t.Draining {
				state += ", leaving"
			}
			out[svc.Name+" "+t.Address] = state
		}
	}
	return out
}
