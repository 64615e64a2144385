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

	"ploverjunction.example/ploverjunction/internal/task"
)

// headerTimeout bounds the time to read a request's header.
const headerTimeout = 5 * time.Second

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
	s.http = kratos.NewServer(
		// Without an address kratos chooses one from the network interfaces.
		kratos.Address(lis.Addr().String()),
		kratos.Listener(lis),
		kratos.Timeout(0),
	)
	s.http.ReadHeaderTimeout = headerTimeout
	s.http.HandleFunc("/healthz", s.health)
	s.http.HandleFunc("/readyz", s.ready)
	s.http.HandleFunc("/status", s.status)
	s.http.HandleFunc("/explain", s.explain)
	s.http.HandleFunc("/drain", s.drain)
	s.http.Handle("/metrics", cfg.Metrics)
	if cfg.MetricsListen.IsValid() {
		s.metrics = kratos.NewServer(kratos.Address(cfg.MetricsListen.String()), kratos.Timeout(0))
		s.metrics.ReadHeaderTimeout = headerTimeout
		s.metrics.Handle("/metrics", cfg.Metrics)
	}
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve serves until Close is called.
func (s *Server) Serve(ctx context.Context) error {
	ctx = context.WithoutCancel(ctx)
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
