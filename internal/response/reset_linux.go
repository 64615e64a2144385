// SPDX-License-Identifier: Apache-2.0

package response

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClosed is the state of a connection that was reset (TCP_CLOSE in the kernel's tcp_states.h). After an orderly end of
// the other end it is another one until this end is closed.
const tcpClosed = 7

// wasReset reports whether a connection was reset, and whether that is known.
func wasReset(conn net.Conn) (reset, known bool) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	var info *unix.TCPInfo
	cerr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if cerr != nil || err != nil {
		return false, false
	}
	return info.State == tcpClosed, true
}
