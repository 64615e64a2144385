// SPDX-License-Identifier: Apache-2.0

package source

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	"ploverjunction.example/ploverjunction/internal/wire"
)

// directoryInterval is the time between two reads of a directory.
const directoryInterval = 500 * time.Millisecond

// fileSuffix marks the files that hold published values.
const fileSuffix = ".json"

// Directory reads one value from each file NAME.json of a directory; NAME is the
// key. A file's revision is its modification time in nanoseconds, so that it also
// grows across restarts. It isn't safe for concurrent use.
type Directory struct {
	path    string
	entries map[string]*wire.Entry
}

// NewDirectory returns a source that reads the directory path.
func NewDirectory(path string) *Directory {
	return &Directory{
		path:    path,
		entries: map[string]*wire.Entry{},
	}
}

// Read returns the values that changed since the last call, or an *Error and no
// values.
func (d *Directory) Read(now time.Time) ([]*wire.Entry, error) {
	files, err := os.ReadDir(d.path)
	if err != nil {
		return nil, &Error{
			kind:     KindDirectory,
			location: d.path,
			cause:    err,
		}
	}
	var out []*wire.Entry
	seen := map[string]bool{}
	for _, f := range files {
		key, ok := strings.CutSuffix(f.Name(), fileSuffix)
		if f.IsDir() || !ok {
			continue
		}
		seen[key] = true
		e, err := d.read(key)
		if err != nil {
			return nil, err
		}
		if e != nil {
			out = append(out, e)
		}
	}
	out = append(out, d.deleted(now, seen)...)
	for _, e := range out {
		d.entries[e.GetKey()] = e
	}
	return out, nil
}

// read returns the value of a file, or nil if it is unchanged.
func (d *Directory) read(key string) (*wire.Entry, error) {
	file := filepath.Join(d.path, key+fileSuffix)
	info, err := os.Stat(file)
	if err != nil {
		return nil, fileError(file, err)
	}
	revision := uint64(info.ModTime().UnixNano())
	old := d.entries[key]
	if old != nil && !old.GetDeleted() && old.GetRevision() == revision {
		return nil, nil
	}
	value, err := os.ReadFile(file)
	if err != nil {
		return nil, fileError(file, err)
	}
	if old != nil && !old.GetDeleted() && bytes.Equal(old.GetValue(), value) {
		return nil, nil
	}
	if old != nil {
		// Replacement by an older file is a change too.
		revision = max(revision, old.GetRevision()+1)
	}
	return &wire.Entry{
		Key:      key,
		Revision: revision,
		Value:    value,
	}, nil
}

func fileError(file string, err error) *Error {
	return &Error{
		kind:     KindFile,
		location: file,
		cause:    err,
	}
}

func (d *Directory) deleted(now time.Time, seen map[string]bool) []*wire.Entry {
	var out []*wire.Entry
	for key, old := range d.entries {
		if seen[key] || old.GetDeleted() {
			continue
		}
		out = append(out, &wire.Entry{
			Key:      key,
			Revision: max(uint64(now.UnixNano()), old.GetRevision()+1),
			Deleted:  true,
		})
	}
	return out
}

// Run reads the directory at each tick until the context ends. deliver is called
// with the changes, failed with each failure.
func (d *Directory) Run(ctx context.Context, deliver func([]*wire.Entry), failed func(error)) error {
	tick := time.NewTicker(directoryInterval)
	defer tick.Stop()
	for {
		entries, err := d.Read(time.Now())
		if err != nil {
			failed(err)
		} else {
			deliver(entries)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}
