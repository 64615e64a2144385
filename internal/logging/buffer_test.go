// SPDX-License-Identifier: Apache-2.0

package logging_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"

	"ploverjunction.example/ploverjunction/internal/logging"
)

// gate is a writer that stands still until it is opened.
type gate struct {
	open chan struct{}
	out  bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.out.Write(p)
}

// A reader of the log that stalls for good must not hold anyone up, and failures
// are kept when successes are left out.
func TestStalledReaderBlocksNobody(t *testing.T) {
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
			t.Error("nothing was left out")
		}
		close(g.open)
		b.Close()
		out := g.out.String()
		if !strings.Contains(out, "went wrong") {
			t.Error("a failure was left out before successes")
		}
		if !strings.Contains(out, "lines left out") {
			t.Error("the log does not tell that lines are missing")
		}
	})
}

// Close gives up on a reader that never reads.
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
