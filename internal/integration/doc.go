// SPDX-License-Identifier: Apache-2.0

// Package integration proves the promises of the fleet with real processes
// behind a fault-injecting proxy. It holds only tests.
package integration
