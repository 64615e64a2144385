// SPDX-License-Identifier: Apache-2.0

package logging_test

import (
	"bytes"
	"strings"
	"testing"

	"ploverjunction.example/ploverjunction/internal/logging"
)

func TestComponentPrefix(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		var b bytes.Buffer
		logging.Part(logging.New(&b, "info", format), "entry").WithField("request", "17").Info("request refused")
		if !strings.Contains(b.String(), `"entry: request refused"`) || !strings.Contains(b.String(), "17") || strings.Contains(b.String(), "part") {
			t.Errorf("%s: %s", format, b.String())
		}
	}
}

func TestLevels(t *testing.T) {
	var b bytes.Buffer
	l := logging.New(&b, "warning", "text")
	l.Info("hidden")
	if b.Len() != 0 {
		t.Errorf("an info line passed: %s", b.String())
	}
	logging.New(&b, "nonsense", "text").Info("shown")
	if b.Len() == 0 {
		t.Error("an unknown level hides info lines")
	}
}
