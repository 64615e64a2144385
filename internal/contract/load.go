// SPDX-License-Identifier: Apache-2.0

package contract

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"ploverjunction.example/ploverjunction/internal/signal"
)

// maxLoadDigits is the number of digits of signal.MaxLoad.
const maxLoadDigits = 5

// LoadError is the error for a load in a header that can't be parsed.
type LoadError struct {
	header string
	text   string
}

// Error returns the header and its text.
func (e *LoadError) Error() string { return fmt.Sprintf("contract: %s: bad load %q", e.header, e.text) }

// Load returns a function that reads from a header what its target has in hand: three whole numbers
// up to signal.MaxLoad, for running and waiting requests and for slots, of which there is at least
// one. The load is zero without the header, and for anything else, with a *LoadError.
func Load(header string) func(h http.Header) (signal.Load, error) {
	return func(h http.Header) (signal.Load, error) {
		lines := h[header]
		if len(lines) == 0 {
			return signal.Load{}, nil
		}
		text := strings.Join(lines, ",")
		var numbers [3]int
		rest, ok := text, true
		for i := range numbers {
			var field string
			more := false
			field, rest, more = strings.Cut(rest, ",")
			numbers[i], ok = parseCount(strings.Trim(field, " \t"))
			if last := i == len(numbers)-1; !ok || more == last {
				ok = false
				break
			}
		}
		load := signal.Load{
			Running: numbers[0],
			Waiting: numbers[1],
			Slots:   numbers[2],
		}
		if !ok || !load.Valid() {
			return signal.Load{}, &LoadError{
				header: header,
				text:   text,
			}
		}
		return load, nil
	}
}

// parseCount parses digits. Atoi alone would accept signs.
func parseCount(text string) (int, bool) {
	if text == "" || len(text) > maxLoadDigits || strings.Trim(text, "0123456789") != "" {
		return 0, false
	}
	n, err := strconv.Atoi(text)
	return n, err == nil
}
