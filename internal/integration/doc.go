// SPDX-License-Identifier: Apache-2.0

// Package integration tests the guarantees of the fleet with real processes behind
// fault-injecting proxies. It contains only tests.
package integration
