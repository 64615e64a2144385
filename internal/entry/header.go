// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"net"
	"net/http"
	"strings"

	"ploverjunction.example/ploverjunction/internal/contract"
)

// hopByHop are the fields that apply to one connection only (RFC 9110, section 7.6.1), besides
// those that Connection names.
var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// via is the pseudonym of the fleet in Via (RFC 9110, section 7.6.3).
const via = "1.1 ploverjunction"

// endToEnd returns a copy of h without hop-by-hop and reserved fields.
func endToEnd(c *contract.Contract, h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	for _, name := range c.Reserved {
		out.Del(name)
	}
	return out
}

// setWorkspace writes the name of the workspace into the header that a target gets, and removes
// any value that the caller wrote there. "" writes none. If keyed, the caller's key is removed
// too.
func setWorkspace(h http.Header, header, workspace string, keyed bool) {
	if keyed {
		h.Del(contract.HeaderAuthorization)
	}
	for name := range h {
		// Targets behind CGI-like gateways cannot distinguish "_" from "-".
		if strings.EqualFold(strings.ReplaceAll(name, "_", "-"), header) {
			delete(h, name)
		}
	}
	if workspace != "" {
		h.Set(header, workspace)
	}
}

// targetHeader returns the header that a target gets.
func (s *Server) targetHeader(r *http.Request, in *admission) http.Header {
	c := s.cfg.Contract
	h := endToEnd(c, r.Header)
	h.Del("Expect")
	if s.cfg.KeyIdentity {
		setWorkspace(h, s.cfg.WorkspaceHeader, in.workspace, in.config.Workspaces() > 0)
	}
	if !c.Forwarded {
		return h
	}
	h.Add("Via", via)
	if ip, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		chain := append(h.Values("X-Forwarded-For"), ip)
		h.Set("X-Forwarded-For", strings.Join(chain, ", "))
	}
	if h.Get("X-Forwarded-Host") == "" {
		h.Set("X-Forwarded-Host", r.Host)
	}
	if h.Get("X-Forwarded-Proto") == "" {
		h.Set("X-Forwarded-Proto", "http")
	}
	return h
}
