// SPDX-License-Identifier: Apache-2.0

// Package operator is the HTTP interface for operators of a node: health, readiness,
// metrics, status, route explanations and draining.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	kratos "github.com/go-kratos/kratos/v2/transport/http"

	"ploverjunction.example/ploverjunction/internal/inbound"
	"ploverjunction.example/ploverjunction/internal/memory"
	"ploverjunction.example/ploverjunction/internal/task"
)

// Limits of operators' connections. Their requests have short headers and no bodies.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeader is in bytes.
	maxHeader = 16 << 10
	// answerTimeout is how long reading the rest of a request and writing its answer may take: a status of a large
	// fleet takes a slow reader seconds.
	answerTimeout = 30 * time.Second
)

// Config configures a Server. Its functions may be called concurrently.
type Config struct {
	Listen netip.AddrPort
	// Ready reports whether callers should be sent to this node and, if not, why.
	Ready func() (bool, string)
	// Status describes the node; brief omits members, services and revisions.
	Status  func(brief bool) *Status
	Explain func(ExplainRequest) *Explanation
	// Drain begins a planned stop.
	Drain   func()
	Metrics http.Handler
	// Connections is the greatest number of connections at each address, 0 means unlimited. HeaderMemory bounds the
	// memory of large headers; nil means unlimited. OnClosed is called for each connection that is closed for a limit;
	// nil disables it.
	Connections  int
	HeaderMemory *memory.Budget
	OnClosed     func(c inbound.Closed)
	// MetricsListen is an additional address that serves only metrics; the zero value
	// means none.
	MetricsListen netip.AddrPort
}

// Server serves operators over kratos' HTTP transport.
type Server struct {
	cfg      Config
	http     *kratos.Server
	listener net.Listener
	// metrics is nil if Config.MetricsListen is not set.
	metrics *kratos.Server
	// inbound are the listeners with their limits.
	inbound []*inbound.HTTPListener
}

// New returns a server that already listens; Serve must be called to accept requests.
func New(cfg Config) (*Server, error) {
	lis, err := net.Listen("tcp", cfg.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("operator: listen: %w", err)
	}
	s := &Server{
		cfg:      cfg,
		listener: lis,
	}
	s.http = s.serveOn(lis, "operators")
	s.http.HandleFunc("/healthz", s.health)
	s.http.HandleFunc("/readyz", s.ready)
	s.http.HandleFunc("/status", s.status)
	s.http.HandleFunc("/explain", s.explain)
	s.http.HandleFunc("/drain", s.drain)
	s.http.Handle("/metrics", cfg.Metrics)
	if cfg.MetricsListen.IsValid() {
		lis, err := net.Listen("tcp", cfg.MetricsListen.String())
		if err != nil {
			return nil, errors.Join(fmt.Errorf("operator: listen: %w", err), s.listener.Close())
		}
		s.metrics = s.serveOn(lis, "metrics")
		s.metrics.Handle("/metrics", cfg.Metrics)
	}
	return s, nil
}

// serveOn returns a server for the connections of a listener, within the limits of operators.
func (s *Server) serveOn(lis net.Listener, door string) *kratos.Server {
	bounded := inbound.NewHTTPListener(lis, inbound.Config{
		Door:          door,
		Connections:   s.cfg.Connections,
		Memory:        s.cfg.HeaderMemory,
		HeaderTimeout: func() time.Duration { return headerTimeout },
		IdleTimeout:   func() time.Duration { return idleTimeout },
		OnClosed:      s.cfg.OnClosed,
	}, inbound.HTTP{
		MaxHeader: func() int64 { return maxHeader },
		Refusal:   refusal,
	})
	s.inbound = append(s.inbound, bounded)
	server := kratos.NewServer(
		// Without an address kratos chooses one from the network interfaces.
		kratos.Address(lis.Addr().String()),
		kratos.Listener(bounded),
		kratos.Timeout(0),
		kratos.Filter(serveReceived),
	)
	server.ReadTimeout = answerTimeout
	server.WriteTimeout = answerTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = maxHeader
	server.ConnContext = inbound.WithConn
	server.ConnState = inbound.TrackConnState
	return server
}

// serveReceived serves the requests of connections that were not closed for a limit. Their bodies are not read.
func serveReceived(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := inbound.ConnOf(r); c != nil && !(c.Serve() && c.HoldRequest(r)) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// refusal returns the answer to a request whose header is not read to its end.
func refusal(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status))
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve serves until Close is called.
func (s *Server) Serve(ctx context.Context) error {
	ctx = context.WithoutCancel(ctx)
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	var limits task.Group
	for _, l := range s.inbound {
		limits.Go(limited, "limits of operators", l.Run)
	}
	err := s.serve(ctx)
	cancel()
	return errors.Join(err, limits.Wait())
}

func (s *Server) serve(ctx context.Context) error {
	if s.metrics == nil {
		return s.http.Start(ctx)
	}
	second := task.Go(ctx, "metrics", s.metrics.Start)
	return errors.Join(s.http.Start(ctx), s.metrics.Close(), <-second.Done())
}

// Close closes all connections and makes Serve return.
func (s *Server) Close() error {
	return s.http.Close()
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	ok, reason := s.cfg.Ready()
	if ok {
		w.WriteHeader(http.StatusOK)
		return
	}
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.cfg.Status(r.URL.Query().Has("brief")))
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	writeJSON(w, s.cfg.Explain(ExplainRequest{
		Host:   q.Get("host"),
		Path:   q.Get("path"),
		Method: q.Get("method"),
	}))
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "POST only", http.StatusMethodNotAllowed)
		return
	}
	s.cfg.Drain()
	w.WriteHeader(http.StatusAccepted)
}

func writeJSON(w http.ResponseWriter, v any) {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The client may have closed the connection.
	_, _ = w.Write(append(b, '\n'))
}
