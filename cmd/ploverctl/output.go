// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fmt"
	"io"
)

// output writes results as text or JSON.
type output struct {
	w    io.Writer
	json bool
}

// print writes v as JSON, or the formatted text.
func (o *output) print(v any, format string, args ...any) error {
	if !o.json {
		_, err := fmt.Fprintf(o.w, format, args...)
		return err
	}
	enc := json.NewEncoder(o.w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
