// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"net"

	"golang.org/x/sys/unix"
)

// unreceived reports whether the other end has not acknowledged all that was written to a connection; false if that is not
// known.
func unreceived(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	cerr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return cerr == nil && err == nil && n > 0
}
