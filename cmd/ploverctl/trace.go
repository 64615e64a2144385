// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// traceCommand tells the story of one request from the logs of the nodes.
type traceCommand struct {
	ID    string   `arg:"" help:"Name of the request, as callers and logs have it."`
	Files []string `arg:"" optional:"" help:"Logs in JSON; standard input if none is given." type:"existingfile"`
}

// maxLine bounds a line of a log in bytes.
const maxLine = 1 << 20

// line is one line of a log that names the request.
type line struct {
	fields map[string]any
	source string
}

func (l *line) text(key string) string {
	v, ok := l.fields[key]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
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
	var story strings.Builder
	for i := range lines {
		fields[i] = lines[i].fields
		story.WriteString(lines[i].String())
	}
	return out.print(fields, "%s", story.String())
}

func (c *traceCommand) read() ([]line, error) {
	if len(c.Files) == 0 {
		return c.scan(os.Stdin, "")
	}
	var out []line
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("ploverctl: %w", err)
		}
		lines, err := c.scan(f, name)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		out = append(out, lines...)
	}
	return out, nil
}

// scan returns the lines of one log that name the request. Whatever stands before
// the JSON of a line, such as a host's name, is taken for the source.
func (c *traceCommand) scan(r io.Reader, source string) ([]line, error) {
	var out []line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		text := s.Text()
		if !strings.Contains(text, c.ID) {
			continue
		}
		before, _, found := strings.Cut(text, "{")
		l := line{
			source: strings.TrimSpace(source + " " + before),
		}
		if !found || json.Unmarshal([]byte(text[len(before):]), &l.fields) != nil || l.text("request") != c.ID {
			continue
		}
		out = append(out, l)
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("ploverctl: read %s: %w", source, err)
	}
	return out, nil
}

// told are the fields of a line that the story begins with; the others follow by
// name.
var told = []string{"time", "level", "msg", "request"}

// String returns the line in words.
func (l *line) String() string {
	var rest []string
	for k := range l.fields {
		if !slices.Contains(told, k) {
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
