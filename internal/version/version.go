// SPDX-License-Identifier: Apache-2.0

// Package version holds the version of the programs.
package version

import "runtime/debug"

// Number is the next version in the changelog.
const Number = "0.1.0-dev"

// String returns the version and, if the build recorded it, the VCS revision.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Number
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return Number + " (" + s.Value + ")"
		}
	}
	return Number
}
