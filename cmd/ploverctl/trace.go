// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"slices"
	"strings"
)

// traceCommand prints the log lines about one request.
type traceCommand struct {
	ID    string   `arg:"" help:"ID of the request, as in its headers and the logs."`
	Files []string `arg:"" optional:"" help:"Logs in JSON; standard input if none is given." type:"existingfile"`
}

// Run reads the logs and prints the lines about the request by time.
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

// leadingFields are the fields that are not printed as KEY=VALUE at the end of a line.
var leadingFields = []string{"time", "level", "msg", "request"}

// String returns the line as text.
func (l *line) String() string {
	var fields []string
	for k := range l.fields {
		if !slices.Contains(leadingFields, k) {
			fields = append(fields, k+"="+l.text(k))
		}
	}
	slices.Sort(fields)
	return fmt.Sprintf("%s  %s  %s  %s\n", l.text("time"), l.source, l.text("msg"), strings.Join(fields, " "))
}

// notFoundError describes a request that is in none of the logs.
type notFoundError struct{ id string }

// Error includes the ID of the request.
func (e *notFoundError) Error() string { return "ploverctl: no line names request " + e.id }
