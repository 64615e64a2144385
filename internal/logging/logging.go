// SPDX-License-Identifier: Apache-2.0

// Package logging sets up logrus and gives each part its fixed prefix.
package logging

import (
	"io"

	"github.com/sirupsen/logrus"
)

// New returns a logger that writes to w. An unknown level means info; any
// format but "json" means text.
func New(w io.Writer, level, format string) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(parseLevel(level))
	if format == "json" {
		l.SetFormatter(&logrus.JSONFormatter{})
	} else {
		l.SetFormatter(&logrus.TextFormatter{
			FullTimestamp: true,
			DisableColors: true,
		})
	}
	return l
}

func parseLevel(level string) logrus.Level {
	lv, err := logrus.ParseLevel(level)
	if err != nil {
		return logrus.InfoLevel
	}
	return lv
}

// Part returns the logger of one part of the process. The part's name stands in
// the field "part" of each line.
func Part(l *logrus.Logger, part string) *logrus.Entry {
	return l.WithField("part", part)
}
