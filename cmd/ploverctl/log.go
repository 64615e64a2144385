// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
)

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// line is one line of a log. Text before the JSON, such as a host name, is part of the
// source.
type line struct {
	fields map[string]any
	source string
}

// text returns a field as text, "" if the line doesn't have it.
func (l *line) text(key string) string {
	v, ok := l.fields[key]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// scanFiles passes the log lines that contain part to take, file by file; it reads standard
// input if no files are given.
func scanFiles(files []string, part string, take func(line)) error {
	if len(files) == 0 {
		return scanLog(os.Stdin, "", part, take)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("ploverctl: %w", err)
		}
		err = scanLog(f, name, part, take)
		_ = f.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

func scanLog(r io.Reader, source, part string, take func(line)) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		text := s.Text()
		if !strings.Contains(text, part) {
			continue
		}
		before, _, found := strings.Cut(text, "{")
		l := line{
			source: strings.TrimSpace(source + " " + before),
		}
		if found && json.Unmarshal([]byte(text[len(before):]), &l.fields) == nil {
			take(l)
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("ploverctl: read %s: %w", source, err)
	}
	return nil
}
