// SPDX-License-Identifier: Apache-2.0

package source

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
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
	path string
	// files holds what was last read, by key.
	files map[string]file
	// reported are the texts of the errors of files that can't be read, by key.
	reported map[string]string
}

// file is a published value, or its removal.
type file struct {
	entry *wire.Entry
	// modified is the modification time of the file that was read, in nanoseconds.
	modified uint64
}

// NewDirectory returns a source that reads the directory path.
func NewDirectory(path string) *Directory {
	return &Directory{
		path:  path,
		files: map[string]file{},

		reported: map[string]string{},
	}
}

// Read returns the values that changed since the last call. A file that can't be read is left out, and its last
// value stays in force; the error is the *Error of the directory, or those of such files unless the last call
// returned them too.
func (d *Directory) Read(now time.Time) ([]*wire.Entry, error) {
	files, err := os.ReadDir(d.path)
	if err != nil {
		return nil, &Error{
			kind:     KindDirectory,
			location: d.path,
			cause:    err,
		}
	}
	var changed []file
	var faults []error
	reported := map[string]string{}
	seen := map[string]bool{}
	for _, f := range files {
		key, ok := strings.CutSuffix(f.Name(), fileSuffix)
		if f.IsDir() || !ok {
			continue
		}
		seen[key] = true
		read, err := d.read(now, key)
		if err != nil {
			reported[key] = err.Error()
			if d.reported[key] != err.Error() {
				faults = append(faults, err)
			}
			continue
		}
		if read.entry != nil {
			changed = append(changed, read)
		}
	}
	d.reported = reported
	changed = append(changed, d.deleted(now, seen)...)
	out := make([]*wire.Entry, 0, len(changed))
	for _, c := range changed {
		d.files[c.entry.GetKey()] = c
		out = append(out, c.entry)
	}
	return out, errors.Join(faults...)
}

// read returns a file, or one without an entry if it is unchanged. A file that was written again is a change even if
// its value is the same: another node's directory may have held another one meanwhile.
func (d *Directory) read(now time.Time, key string) (file, error) {
	path := filepath.Join(d.path, key+fileSuffix)
	info, err := os.Stat(path)
	if err != nil {
		return file{}, fileError(path, err)
	}
	modified := uint64(info.ModTime().UnixNano())
	old := d.files[key]
	if old.entry != nil && !old.entry.GetDeleted() && old.modified == modified {
		return file{}, nil
	}
	if !info.Mode().IsRegular() {
		// Reading others may block.
		return file{}, fileError(path, errNotRegular)
	}
	if info.Size() > fleetconfig.MaxDocument {
		return file{}, fileError(path, errTooLarge)
	}
	value, err := os.ReadFile(path)
	if err != nil {
		return file{}, fileError(path, err)
	}
	revision := revisionOf(now, info.ModTime())
	if old.entry != nil {
		// Replacement by an older file is a change too.
		revision = max(revision, old.entry.GetRevision()+1)
	}
	return file{
		entry: &wire.Entry{
			Key:      key,
			Revision: revision,
			Value:    value,
		},
		modified: modified,
	}, nil
}

// maxAhead is by how much the time of a file may be ahead of the clock.
const maxAhead = 24 * time.Hour

// revisionOf returns the revision for a modification time. Files from before 1970 have the least revision, and
// those from the future that of the current time: with a greater one, files that are written later would count as
// older on nodes that start again.
func revisionOf(now, modified time.Time) uint64 {
	if modified.After(now.Add(maxAhead)) {
		modified = now
	}
	if modified.Unix() <= 0 {
		return 1
	}
	return uint64(modified.UnixNano())
}

// Reasons why files are not read.
var (
	errNotRegular = errors.New("not a regular file")
	errTooLarge   = fmt.Errorf("more than %d bytes", fleetconfig.MaxDocument)
)

func fileError(file string, err error) *Error {
	return &Error{
		kind:     KindFile,
		location: file,
		cause:    err,
	}
}

func (d *Directory) deleted(now time.Time, seen map[string]bool) []file {
	var out []file
	for key, old := range d.files {
		if seen[key] || old.entry.GetDeleted() {
			continue
		}
		out = append(out, file{
			entry: &wire.Entry{
				Key:      key,
				Revision: max(uint64(now.UnixNano()), old.entry.GetRevision()+1),
				Deleted:  true,
			},
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
		}
		deliver(entries)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}
