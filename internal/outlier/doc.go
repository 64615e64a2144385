// SPDX-License-Identifier: Apache-2.0

// Package outlier detects sick targets from the results of real requests.
//
// A Collector counts the good and bad requests of one node. A Detector turns the
// counts of one or many nodes into a score for each target: a
// CUSUM (Page, "Continuous inspection schemes", Biometrika 1954) of the
// log-likelihood ratio between "as bad as the rest of its pool" and "sick". A
// Controller holds a node's state of each target of one service: ejected, on trial,
// warming or healthy. An Observer merges the evidence of many nodes.
//
// The package starts no goroutines, does no I/O and takes the time as an argument.
package outlier

import "github.com/cespare/xxhash/v2"

// Key returns the hash that identifies a target in messages. With 100 targets in
// a service two of them share a key in about one of a million services; their
// evidence is then merged.
func Key(address string) uint32 {
	return uint32(xxhash.Sum64String(address))
}
