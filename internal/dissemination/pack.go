// SPDX-License-Identifier: Apache-2.0

package dissemination

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// minPackSize is the least size in bytes of values that are sent compressed: JSON of
// many routes shrinks to a tenth, and slow links carry it to several peers.
const minPackSize = 2 << 10

// pack returns an entry in the form in which it is sent.
func pack(e *wire.Entry) (*wire.Entry, error) {
	if len(e.GetValue()) < minPackSize {
		return e, nil
	}
	packed, err := deflate(e.GetValue())
	if err != nil {
		return nil, err
	}
	return withValue(e, nil, packed), nil
}

func deflate(value []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("dissemination: pack: %w", err)
	}
	if _, err := w.Write(value); err != nil {
		return nil, fmt.Errorf("dissemination: pack: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("dissemination: pack: %w", err)
	}
	return b.Bytes(), nil
}

// inflate decompresses at most one byte more than maxBytes.
func inflate(packed []byte, maxBytes int64) ([]byte, error) {
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxBytes+1))
}

// packBatch compresses entries together: those of targets differ little and shrink to a
// quarter.
func packBatch(entries []*wire.Entry) ([]byte, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	plain, err := proto.Marshal(&wire.EntryList{
		Entries: entries,
	})
	if err != nil {
		return nil, fmt.Errorf("dissemination: pack: %w", err)
	}
	return deflate(plain)
}

// unpackBatch returns the entries of a batch. A batch of more than maxBatch bytes is a *BatchError.
func unpackBatch(batch []byte) ([]*wire.Entry, error) {
	if len(batch) == 0 {
		return nil, nil
	}
	const maxBytes = maxBatch
	plain, err := inflate(batch, maxBytes)
	if err != nil {
		return nil, fmt.Errorf("dissemination: unpack: %w", err)
	}
	if len(plain) > maxBytes {
		return nil, &BatchError{}
	}
	list := &wire.EntryList{}
	if err := proto.Unmarshal(plain, list); err != nil {
		return nil, fmt.Errorf("dissemination: unpack: %w", err)
	}
	return list.GetEntries(), nil
}

// BatchError reports a batch of more than maxBatch bytes.
type BatchError struct{}

// Error returns the message.
func (*BatchError) Error() string { return "dissemination: unpack: batch too large" }

// maxBatch is the greatest size of an unpacked batch in bytes: the values of one message, one of
// which may have the greatest size, and their keys and versions.
const maxBatch = 2*fleetconfig.MaxDocument + 4*maxReply

// unpack returns an entry in the form in which it is stored. Decompression stops one byte
// after MaxDocument; the store refuses so large a value.
func unpack(e *wire.Entry) (*wire.Entry, error) {
	if len(e.GetPacked()) == 0 {
		return e, nil
	}
	value, err := inflate(e.GetPacked(), fleetconfig.MaxDocument)
	if err != nil {
		return nil, fmt.Errorf("dissemination: unpack %s: %w", e.GetKey(), err)
	}
	return withValue(e, value, nil), nil
}

// withValue returns a copy of an entry with another form of its value.
func withValue(e *wire.Entry, value, packed []byte) *wire.Entry {
	out := &wire.Entry{
		Key:     e.GetKey(),
		Value:   value,
		Packed:  packed,
		Deleted: e.GetDeleted(),
	}
	fleetconfig.SetVersion(out, fleetconfig.VersionOf(e))
	return out
}
