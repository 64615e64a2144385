// SPDX-License-Identifier: Apache-2.0

package logging_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/logging"
)

// gate is a writer that blocks until it is opened.
type gate struct {
	open chan struct{}
	out  bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.out.Write(p)
}

// Guards against a stalled reader of the log that blocks the process, and against dropping
// warnings before info lines.
func TestStalledReaderDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gate{
			open: make(chan struct{}),
		}
		b := logging.NewBuffer(g)
		log := logging.New(b, "info", "json")
		for range 10000 {
			log.Info("went well")
		}
		log.Warn("went wrong")
		if b.Dropped() == 0 {
			t.Error("no line was dropped")
		}
		close(g.open)
		b.Close()
		out := g.out.String()
		if !strings.Contains(out, "went wrong") {
			t.Error("a warning was dropped before info lines")
		}
		if !strings.Contains(out, "lines left out") {
			t.Error("the log does not report the dropped lines")
		}
	})
}

// Guards against a Close that waits for a reader that never reads.
func TestCloseDoesNotWaitForever(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		g := &gate{
			open: make(chan struct{}),
		}
		b := logging.NewBuffer(g)
		log := logging.New(b, "info", "json")
		log.Info("one")
		b.Close()
		close(g.open)
		synctest.Wait()
	})
}

// Guards against long lines, whose contents callers choose, that fill the memory while the log is read slowly.
func TestLongLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 5 << 20
		g := &gate{
			open: make(chan struct{}),
		}
		b := logging.NewBuffer(g)
		log := logging.New(b, "info", "json")
		id := strings.Repeat("x", 60_000)
		for range 2000 {
			log.WithField("request", id).Warn("refused")
		}
		dropped := b.Dropped()
		close(g.open)
		synctest.Wait()
		log.Warn("after")
		b.Close()
		if n := g.out.Len(); n > most || dropped == 0 {
			t.Errorf("%d bytes were waiting, %d lines dropped", n, dropped)
		}
		if !strings.Contains(g.out.String(), "after") {
			t.Error("no line is written after the reader has caught up")
		}
	})
}

// slowWriter takes a while for each line.
type slowWriter struct{ lines int }

func (w *slowWriter) Write(p []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	w.lines++
	return len(p), nil
}

// Guards against the last lines of a process that are lost because its log is read slowly.
func TestCloseWritesTheLastLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lines = 100
		w := &slowWriter{}
		b := logging.NewBuffer(w)
		log := logging.New(b, "info", "json")
		for range lines {
			log.Warn("request failed")
		}
		b.Close()
		if w.lines != lines {
			t.Errorf("%d of %d lines were written", w.lines, lines)
		}
	})
}
