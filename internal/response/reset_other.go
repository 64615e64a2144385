// SPDX-License-Identifier: Apache-2.0

//go:build !linux

package response

import "net"

// wasReset reports whether a connection was reset, and whether that is known.
func wasReset(net.Conn) (reset, known bool) { return false, false }
