// SPDX-License-Identifier: Apache-2.0

package faultproxy

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// port is a TCP port on loopback that stays reserved while nothing listens on it:
// connections are refused then, and no other socket is given the port.
type port struct {
	fd      int
	address netip.AddrPort
}

// reservePort binds a free port without listening on it.
func reservePort() (*port, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	p := &port{
		fd: fd,
	}
	if err := p.bind(); err != nil {
		p.release()
		return nil, err
	}
	return p, nil
}

func (p *port) bind() error {
	if err := unix.SetsockoptInt(p.fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
		return err
	}
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	if err := unix.Bind(p.fd, &unix.SockaddrInet4{
		Addr: loopback.As4(),
	}); err != nil {
		return err
	}
	bound, err := unix.Getsockname(p.fd)
	if err != nil {
		return err
	}
	in4, ok := bound.(*unix.SockaddrInet4)
	if !ok {
		return unix.EAFNOSUPPORT
	}
	p.address = netip.AddrPortFrom(loopback, uint16(in4.Port))
	return nil
}

// listen listens on the port, which the reserving socket shares by SO_REUSEPORT.
func (p *port) listen() (net.Listener, error) {
	shared := net.ListenConfig{
		Control: func(_, _ string, raw syscall.RawConn) error {
			var set error
			err := raw.Control(func(fd uintptr) {
				set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			})
			if err != nil {
				return err
			}
			return set
		},
	}
	return shared.Listen(context.Background(), "tcp", p.address.String())
}

// release frees the port.
func (p *port) release() { _ = unix.Close(p.fd) }
