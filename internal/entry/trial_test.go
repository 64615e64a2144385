// SPDX-License-Identifier: Apache-2.0

package entry_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
)

// maxTrialTime is much longer than the deadline of the trial.
const maxTrialTime = 10 * time.Second

// Guards against trials that a target holds for good by an answer without end.
func TestTrialEndsWithoutAnEndOfTheAnswer(t *testing.T) {
	ended := make(chan struct{})
	trial := newSignalTarget(t, "trial", func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		_, _ = io.WriteString(w, strings.Repeat("x", 128<<10))
		for end := time.Now().Add(2 * maxTrialTime); r.Context().Err() == nil && time.Now().Before(end); {
			_, _ = io.WriteString(w, "x")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	})
	s := newSite(t, func(cfg *entry.Config) {
		cfg.Trial = func(*fleetconfig.Service) (entry.Choice, bool) { return trial.choice, trial.arrived.Load() == 0 }
	})
	r := request(t, s.url+"/quotes/1")
	r.Header.Set("Plover-Timeout", "300ms")
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	select {
	case <-ended:
	case <-time.After(maxTrialTime):
		t.Error("the trial is still read")
	}
}
