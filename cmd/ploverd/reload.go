// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"os"
	"time"

	"ploverjunction.example/ploverjunction/internal/settings"
)

// settingsInterval is how often the settings file is checked for changes, which take
// effect without a signal too.
const settingsInterval = 2 * time.Second

// watchSettings loads the settings after SIGHUP and when the file has changed and passes
// the result or error to reload, until the context ends.
func watchSettings(ctx context.Context, hangups <-chan os.Signal, file string, reload func(*settings.Settings, error)) error {
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	last := stateOf(file)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
		case <-tick.C:
			if stateOf(file) == last {
				continue
			}
		}
		last = stateOf(file)
		reload(settings.Load(file))
	}
}

// fileState identifies a version of a file.
type fileState struct {
	modified time.Time
	size     int64
}

// stateOf returns the state of a file, the zero value if it can't be read: the reload then
// reports why.
func stateOf(file string) fileState {
	info, err := os.Stat(file)
	if err != nil {
		return fileState{}
	}
	return fileState{
		modified: info.ModTime(),
		size:     info.Size(),
	}
}
