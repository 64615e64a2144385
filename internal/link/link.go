// SPDX-License-Identifier: Apache-2.0

// Package link carries messages between the processes of the fleet over drpc.
// If the settings give a certificate authority, peers must hold a certificate of it.
package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/inbound"
	"ploverjunction.example/ploverjunction/internal/task"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Times of calls.
const (
	// CallTimeout is how long a call to a peer may take.
	CallTimeout = 2 * time.Second
	dialTimeout = time.Second
	// idleClose is the idle time after which a connection is closed.
	idleClose = 30 * time.Second
)

// maxMessage is the greatest size of a message in bytes: the document in force and the newest one of a
// key, which may not compress, and smaller values.
const maxMessage = 2*fleetconfig.MaxDocument + 1<<20

// managerOptions are the options of both ends of a connection.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{
			MaximumBufferSize: maxMessage,
		},
	}
}

// Kind names what failed on a link.
type Kind string

// Kinds of failures.
const (
	KindKeys   Kind = "keys cannot be used"
	KindListen Kind = "cannot listen"
	KindDial   Kind = "no connection"
	KindCall   Kind = "call failed"
)

// Error is a failure on a link.
type Error struct {
	kind  Kind
	peer  string
	cause error
}

// Error names the peer and the failure.
func (e *Error) Error() string { return fmt.Sprintf("link: %s: %s: %v", e.peer, e.kind, e.cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Kind returns what failed.
func (e *Error) Kind() Kind { return e.kind }

// Unimplemented reports whether a call failed because the peer, of an older version, does not know it.
func Unimplemented(err error) bool {
	// The server sends an unknown call back without a code.
	return drpcerr.Code(err) == drpcerr.Unimplemented || err != nil && strings.Contains(err.Error(), "unknown rpc")
}

// Server serves the calls of peers.
type Server struct {
	listener net.Listener
	inbound  *inbound.Listener
	server   *drpcserver.Server
}

// Listen opens the listener for peers. If keys is nil, anyone who reaches the address is trusted.
// refused is called with the errors of connections.
func Listen(address string, keys *Keys, traffic *Traffic, bounds Bounds, handler wire.DRPCPeerServer, refused func(error)) (*Server, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{
			kind:  KindListen,
			peer:  address,
			cause: err,
		}
	}
	bounded := inbound.NewListener(lis, bounds.config())
	lis = &countedListener{
		Listener: bounded,
		traffic:  traffic,
	}
	if keys != nil {
		lis = tls.NewListener(lis, keys.config)
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, &labellingServer{
		DRPCPeerServer: handler,
		traffic:        traffic,
	}); err != nil {
		panic("link: register peer service: " + err.Error())
	}
	return &Server{
		listener: &messageListener{
			Listener: lis,
		},
		inbound: bounded,
		server: drpcserver.NewWithOptions(mux, drpcserver.Options{
			Manager: managerOptions(),
			Log:     refused,
		}),
	}, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve serves until the context ends.
func (s *Server) Serve(ctx context.Context) error {
	limits := task.Go(ctx, "limits of peers", s.inbound.Run)
	err := s.server.Serve(ctx, s.listener)
	if err != nil && ctx.Err() == nil {
		return errors.Join(fmt.Errorf("link: serve: %w", err), limits.Stop())
	}
	return limits.Stop()
}
