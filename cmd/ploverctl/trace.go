// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"slices"
	"strings"
)

// traceCommand tells the story of one request from the logs of the nodes.
type traceCommand struct {
	ID    string   `arg:"" help:"Name of the request, as callers and logs have it."`
	Files []string `arg:"" optional:"" help:"Logs in JSON; standard input if none is given." type:"existingfile"`
}

// Run reads the logs and prints the lines about the request in their order.
func (c *traceCommand) Run(out *output) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return &notFoundError{
			id: c.ID,
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int { return strings.Compare(a.text("time"), b.text("time")) })
	fields := make([]map[string]any, len(lines))
	var text strings.Builder
	for i := range lines {
		fields[i] = lines[i].fields
		text.WriteString(lines[i].String())
	}
	return out.print(fields, "%s", text.String())
}

// read returns the lines that name the request.
func (c *traceCommand) read() ([]line, error) {
	var out []line
	err := scanFiles(c.Files, c.ID, func(l line) {
		if l.text("request") == c.ID {
			out = append(out, l)
		}
	})
	return out, err
}

// leadingFields are the fields of a line that the story begins with; the others follow by
// name.
var leadingFields = []string{"time", "level", "msg", "request"}

// String returns the line in words.
func (l *line) String() string {
	var rest []string
	for k := range l.fields {
		if !slices.Contains(leadingFields, k) {
			rest = append(rest, k+"="+l.text(k))
		}
	}
	slices.Sort(rest)
	return fmt.Sprintf("%s  %s  %s  %s\n", l.text("time"), l.source, l.text("msg"), strings.Join(rest, " "))
}

// notFoundError says that no log names a request.
type notFoundError struct{ id string }

// Error names the request.
func (e *notFoundError) Error() string { return "ploverctl: no line names request " + e.id }
