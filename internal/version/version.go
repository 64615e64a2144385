// SPDX-License-Identifier: Apache-2.0

// Package version names the version of the programs.
package version

import "runtime/debug"

// Number is the version that the changelog names next.
const Number = "0.1.0-dev"

// String returns the version and, where the build knows it, the revision.
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
