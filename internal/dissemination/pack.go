// SPDX-License-Identifier: Apache-2.0

package dissemination

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// packFrom is the size in bytes from which on values travel compressed: JSON of
// many routes shrinks to a tenth, and narrow links carry it to several peers.
const packFrom = 2 << 10

// pack returns an entry as it travels.
func pack(e *wire.Entry) (*wire.Entry, error) {
	if len(e.GetValue()) < packFrom {
		return e, nil
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("dissemination: pack: %w", err)
	}
	if _, err := w.Write(e.GetValue()); err != nil {
		return nil, fmt.Errorf("dissemination: pack: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("dissemination: pack: %w", err)
	}
	return with(e, nil, b.Bytes()), nil
}

// unpack returns an entry as it is kept. What claims to be larger than a value may
// be is a fault.
func unpack(e *wire.Entry) (*wire.Entry, error) {
	if len(e.GetPacked()) == 0 {
		return e, nil
	}
	r := flate.NewReader(bytes.NewReader(e.GetPacked()))
	value, err := io.ReadAll(io.LimitReader(r, fleetconfig.MaxValue+1))
	if err != nil {
		return nil, fmt.Errorf("dissemination: unpack %s: %w", e.GetKey(), err)
	}
	return with(e, value, nil), nil
}

// with returns a copy of an entry with another form of its value.
func with(e *wire.Entry, value, packed []byte) *wire.Entry {
	out := &wire.Entry{
		Key:     e.GetKey(),
		Value:   value,
		Packed:  packed,
		Deleted: e.GetDeleted(),
	}
	fleetconfig.SetMark(out, fleetconfig.MarkOf(e))
	return out
}
