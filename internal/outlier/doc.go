// SPDX-License-Identifier: Apache-2.0

// Package outlier decides which targets are sick, from what real requests showed.
//
// A Collector turns the requests of one node into counts of good and bad ones. A
// Detector turns counts, of one node or of many, into a score for each target: a
// CUSUM (Page, "Continuous inspection schemes", Biometrika 1954) of the
// log-likelihood ratio between "as bad as the rest of its pool" and "sick". A
// Judge holds a node's state of each target of one service: ejected, on trial,
// warming or healthy.
//
// All are pure: they start no goroutine, open nothing and take the time as an
// argument.
package outlier

import "github.com/cespare/xxhash/v2"

// Key returns the hash by which messages name a target. With 100 targets in a
// service two of them share a key in about one of a million services; their
// evidence is then merged.
func Key(address string) uint32 {
	return uint32(xxhash.Sum64String(address))
}
