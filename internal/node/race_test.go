// SPDX-License-Identifier: Apache-2.0

//go:build race

package node_test

// raceDetector reports whether the tests run with the race detector.
const raceDetector = true
