// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
)

// Headers of the users' pages.
const (
	headerID        = "Ploverjunction-Attempt-Id"
	headerDeadline  = "Ploverjunction-Deadline-Ms"
	headerSignature = "Ploverjunction-Response-Signature"
	headerExpect    = "Ploverjunction-Expect-Instance"
	headerInstance  = "Ploverjunction-Instance-Id"
)

// backend is a backend with an entry in the store. It serves one request at a time on a connection.
type backend struct {
	fleet    *fleet
	id       string
	service  string
	zone     string
	address  string
	listener net.Listener
	// run works on a request and answers it. It returns whether the connection can be used again.
	run func(b *backend, c net.Conn, br *bufio.Reader, r *http.Request) bool
}

// addBackend starts a backend and writes its entry.
func (f *fleet) addBackend(service, zone string, run func(*backend, net.Conn, *bufio.Reader, *http.Request) bool) (*backend, error) {
	n := len(f.backends) + 1
	b := &backend{
		fleet:   f,
		id:      fmt.Sprintf("i-%s-%d", service, n),
		service: service,
		zone:    zone,
		address: fmt.Sprintf("%s.%d:%d", f.prefix, 100+n, portBackend),
		run:     run,
	}
	var err error
	if b.listener, err = net.Listen("tcp", b.address); err != nil {
		return nil, err
	}
	f.backends = append(f.backends, b)
	go b.accept()
	b.publish("ready", 1)
	return b, nil
}

// publish writes the entry of the backend.
func (b *backend) publish(state string, seq int) {
	b.fleet.store.put("servers/"+b.id, map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1",
		"capacity": 3, "state": state, "warmup_left": "0ms", "seq": seq,
	})
}

func (b *backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

func (b *backend) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if r.URL.Path == "/healthz" {
			if !b.write(c, "200 OK", "", headerInstance+": "+b.id, "ok") {
				return
			}
			continue
		}
		id := r.Header.Get(headerID)
		if want := r.Header.Get(headerExpect); want != "" && want != b.id {
			b.write(c, "421 Misdirected Request", id, headerInstance+": "+b.id, "")
			return
		}
		if !b.run(b, c, br, r) {
			return
		}
	}
}

// write writes a whole answer and reports whether that worked.
func (b *backend) write(c net.Conn, status, id, extra, body string) bool {
	var w strings.Builder
	fmt.Fprintf(&w, "HTTP/1.1 %s\r\nContent-Length: %d\r\n", status, len(body))
	if id != "" {
		fmt.Fprintf(&w, "%s: %s\r\n%s: s.%s.%s\r\n", headerID, id, headerSignature, b.id, id)
	}
	if extra != "" {
		w.WriteString(extra + "\r\n")
	}
	w.WriteString("\r\n" + body)
	_, err := c.Write([]byte(w.String()))
	return err == nil
}

// route is one route of the configuration.
type route struct {
	Name        string `json:"name"`
	Prefix      string `json:"path_prefix"`
	Type        string `json:"type"`
	Timeout     string `json:"timeout,omitempty"`
	Latency     string `json:"target_latency"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
}

// publishConfig writes a version of the configuration with one host.
func (f *fleet) publishConfig(version int, host string, services []string, routes []route) {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{
			"name": s, "health_path": "/healthz", "max_connections": 330, "protocol": "h1", "tls": false,
		})
	}
	f.store.put("op/config", map[string]any{
		"version": version, "services": list,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864,
			"header_timeout": "3000ms", "idle_timeout": "15000ms",
		},
		"virtual_hosts": []map[string]any{{"host": host, "path_rules": routes}},
	})
	f.rec.line("configuration %d acknowledged", version)
}

// smallBounds are bounds of the small deployments.
func smallBounds() map[string]string {
	return map[string]string{
		"floor_share": "0.7", "retry_budget_ratio": "0.2", "retry_slack": "58", "budget_window": "10s",
	}
}

// smallZones are three zones in one region.
func smallZones(machines int) []zone {
	var out []zone
	for _, name := range []string{"hall-a", "hall-b", "hall-c"} {
		out = append(out, zone{
			name:     name,
			region:   "region-1",
			machines: machines,
		})
	}
	return out
}
