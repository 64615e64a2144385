// SPDX-License-Identifier: Apache-2.0

// Package logging sets up logrus with a prefix for each component.
package logging

import (
	"io"

	"github.com/sirupsen/logrus"
)

// partField is the field that carries the component's name from Part to the formatter.
const partField = "part"

// timestampFormat is RFC 3339 with milliseconds, by which lines of several nodes are
// sorted.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes to w. An unknown level means info, any format but
// "json" text.
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

// prefixFormatter prepends the component's name to each message.
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

// Part returns the logger of one component, whose name precedes each message.
func Part(l *logrus.Logger, part string) *logrus.Entry {
	return l.WithField(partField, part)
}
