// SPDX-License-Identifier: Apache-2.0

// Package logging sets up logrus and gives each part its fixed prefix.
package logging

import (
	"io"

	"github.com/sirupsen/logrus"
)

// partField carries the name of a part from Part to the formatter.
const partField = "part"

// timestampFormat is RFC 3339 with milliseconds: lines of several nodes are put in
// order by it.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes to w. An unknown level means info; any
// format but "json" means text.
func New(w io.Writer, level, format string) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(parseLevel(level))
	var inner logrus.Formatter = &logrus.TextFormatter{
		FullTimestamp: true,
		DisableColors: true,
	}
	if format == "json" {
		inner = &logrus.JSONFormatter{
			TimestampFormat: timestampFormat,
		}
	}
	l.SetFormatter(&prefixFormatter{
		format: inner.Format,
	})
	return l
}

func parseLevel(level string) logrus.Level {
	lv, err := logrus.ParseLevel(level)
	if err != nil {
		return logrus.InfoLevel
	}
	return lv
}

// prefixFormatter puts the name of the part before each message.
type prefixFormatter struct {
	format func(*logrus.Entry) ([]byte, error)
}

// Format formats one line.
func (f *prefixFormatter) Format(e *logrus.Entry) ([]byte, error) {
	part, ok := e.Data[partField].(string)
	if !ok {
		return f.format(e)
	}
	line := *e
	line.Message = part + ": " + e.Message
	line.Data = make(logrus.Fields, len(e.Data))
	for k, v := range e.Data {
		if k != partField {
			line.Data[k] = v
		}
	}
	return f.format(&line)
}

// Part returns the logger of one part of the process. Its lines begin with the
// part's name.
func Part(l *logrus.Logger, part string) *logrus.Entry {
	return l.WithField(partField, part)
}
