// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
)

// Signals that arrive faster than they are handled are dropped beyond these numbers: they ask for the same.
const (
	waitingStops   = 8
	waitingHangups = 1
)

// notifyStops returns the signals that end the process. They are received from then on until it has ended: their default
// action would end it at once, with the requests in flight.
func notifyStops() <-chan os.Signal {
	c := make(chan os.Signal, waitingStops)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT)
	return c
}

// notifyHangups is the same for SIGHUP.
func notifyHangups() <-chan os.Signal {
	c := make(chan os.Signal, waitingHangups)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// ignoreClosedLog has writes to a log that nobody reads fail. By default the runtime ends the process with SIGPIPE on a
// write to standard output or standard error whose reader has ended, with the requests in flight.
func ignoreClosedLog() { signal.Ignore(syscall.SIGPIPE) }

// handleStops begins a planned stop on SIGTERM and SIGINT, which may be repeated, and stops at once on SIGQUIT, until the
// context ends. After that SIGQUIT ends the process by its default action, should it not end by itself.
func handleStops(ctx context.Context, stops <-chan os.Signal, log *logrus.Entry, drain, stop func()) error {
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			signal.Reset(syscall.SIGQUIT)
			return nil
		case s := <-stops:
			l := log.WithField("signal", s.String()).WithField("signals", n)
			if s == syscall.SIGQUIT {
				l.Warn("stopping at once")
				stop()
				continue
			}
			l.Info("planned stop requested")
			drain()
		}
	}
}
