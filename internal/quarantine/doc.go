// SPDX-License-Identifier: Apache-2.0

// Package quarantine keeps requests away from targets that end when they run them.
//
// A target that ends tells nothing of its cause: every request that it was working on may
// have ended it. What tells them apart is that one of them comes again, and targets end
// under it again, while the others are answered. So nodes note under which requests targets
// have ended, and which requests were answered; a request under which two targets ended,
// with no answer since, is refused by all nodes for a while that grows with each further
// end.
//
// The package is pure: it starts no goroutine, opens nothing, logs nothing and takes the
// time as an argument.
package quarantine
