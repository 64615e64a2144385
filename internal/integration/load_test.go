// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	crand "crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/faultproxy"
	"ploverjunction.example/ploverjunction/internal/standin/platform"
	"ploverjunction.example/ploverjunction/internal/standin/target"
)

// Guards against retry storms. In a full outage of a service, retries add at most a
// tenth to its load, beyond the small reserve of each node.
func TestRetryStorm(t *testing.T) {
	s := ejectionSite(t, 2, `,"policy":{"retry":"attempt < 10","floor":"capacity"}`)
	for _, b := range s.targets {
		b.SetMode(target.Mode{
			ResetAfter: true,
		})
	}
	const workers, each = 10, 100
	var all sync.WaitGroup
	for w := range workers {
		all.Go(func() {
			for i := range each {
				s.nodes[w%2].do(http.MethodGet, "/quotes/1", fmt.Sprintf("storm-%d-%d", w, i), "")
			}
		})
	}
	all.Wait()
	var requests int64
	for _, b := range s.targets {
		requests += b.Requests()
	}
	const first = workers * each
	const reserve = 2 * 10
	t.Logf("%d first attempts, %d requests at the targets", first, requests)
	if requests < first || requests > first+first/10+reserve {
		t.Fatalf("%d requests at the targets for %d first attempts", requests, first)
	}
}

// Guards against a workspace that exceeds its limit across nodes or affects others. Its
// excess is refused early, and other workspaces are served.
func TestWorkspaceLimitAcrossNodes(t *testing.T) {
	s := ejectionSite(t, 2, "")
	s.platform.Publish("workspaces", `{"workspaces":[{"id":"hot","rate":20,"burst":20},{"id":"quiet","rate":100,"burst":100}]}`)
	for _, n := range s.nodes {
		eventually(t, "the limits in force", func() bool {
			st := n.status()
			return st != nil && st.Config.Workspaces == 2 && len(st.Members) == 2
		})
	}
	var ok, refused, quietFailed atomic.Int64
	var all sync.WaitGroup
	started := time.Now()
	for w := range 8 {
		all.Go(func() {
			for range 150 {
				r := s.nodes[w%2].do(http.MethodGet, "/quotes/1", "hot", "", "Plover-Workspace", "hot")
				switch r.status {
				case http.StatusOK:
					ok.Add(1)
				case http.StatusTooManyRequests:
					refused.Add(1)
				}
			}
		})
	}
	all.Go(func() {
		for range 40 {
			if r := s.nodes[0].do(http.MethodGet, "/quotes/1", "quiet", "", "Plover-Workspace", "quiet"); r.status != http.StatusOK {
				quietFailed.Add(1)
			}
		}
	})
	all.Wait()
	took := time.Since(started)
	maxServed := 20 + int64(20*took.Seconds()) + 2
	t.Logf("%d served and %d refused in %v", ok.Load(), refused.Load(), took)
	if ok.Load()+refused.Load() != 1200 || ok.Load() > maxServed {
		t.Errorf("%d served, at most %d allowed; %d refused", ok.Load(), maxServed, refused.Load())
	}
	if quietFailed.Load() > 0 {
		t.Errorf("%d requests of another workspace failed", quietFailed.Load())
	}
}

// Guards against nodes that all call the platform at once when it returns from an outage.
func TestPlatformReturnIsNotStormed(t *testing.T) {
	s := newSite(t)
	s.target("quotes", "a", 3)
	s.publishTargets(nil)
	s.platform.Publish("routes", routesDoc(0))
	s.fleet(12)
	s.platform.SetMode(platform.ModeDown)
	// Nodes serve without the platform.
	for _, n := range s.nodes {
		if r := n.do(http.MethodGet, "/quotes/1", "k", ""); r.status != http.StatusOK {
			t.Fatalf("status %d without the platform", r.status)
		}
	}
	before := s.platform.Calls()
	s.platform.SetMode(platform.ModeGood)
	rev := s.platform.Publish("routes", routesDoc(1))
	for _, n := range s.nodes {
		eventually(t, "the new revision", func() bool { return n.revision("routes") == rev })
	}
	calls := s.platform.Calls() - before
	t.Logf("%d calls until 12 nodes had the new revision", calls)
	if calls > 12 {
		t.Fatalf("%d calls by 12 nodes", calls)
	}
}

// Guards against unbounded connections to a target after its links are restored.
func TestReconnectIsBounded(t *testing.T) {
	s := ejectionSite(t, 2, `,"policy":{"floor":"capacity"}`)
	l := startLoad(s.nodes, 16, 5*time.Millisecond)
	b := s.targets[0]
	eventually(t, "work on the target", func() bool { return len(b.Runs()) > 50 })
	b.proxy.SetForward(faultproxy.Fault{
		Cut: true,
	})
	ran := len(s.targets[1].Runs())
	eventually(t, "work elsewhere", func() bool { return len(s.targets[1].Runs()) > ran+100 })
	b.proxy.SetForward(faultproxy.Fault{})
	maxConns := 0
	ran = len(s.targets[1].Runs())
	eventually(t, "more work", func() bool {
		maxConns = max(maxConns, b.proxy.Conns())
		return len(s.targets[1].Runs()) > ran+300
	})
	sent, failed := l.stop()
	t.Logf("at most %d connections; %d of %d failed", maxConns, failed, sent)
	if maxConns > 200 {
		t.Fatalf("%d connections to a target that accepts 200", maxConns)
	}
}

// Guards against random bytes that crash or block a node. Every port closes the connection.
func TestRandomBytesOnEveryPort(t *testing.T) {
	s := ejectionSite(t, 2, "")
	n := s.nodes[0]
	p := n.proc.Load()
	junk := [][]byte{
		[]byte("hello\r\n\r\n"),
		bytes.Repeat([]byte{0xff}, 70000),
		bytes.Repeat([]byte{0}, 70000),
		[]byte("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"),
	}
	for _, address := range []string{p.Entry(), p.Operator(), p.Peers()} {
		for _, j := range junk {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = conn.Write(j)
			_ = conn.(*net.TCPConn).CloseWrite()
			_ = conn.SetReadDeadline(time.Now().Add(maxWait))
			if _, err := io.Copy(io.Discard, conn); err != nil && !strings.Contains(err.Error(), "reset") {
				t.Errorf("the connection to %s was not closed: %v", address, err)
			}
			_ = conn.Close()
		}
	}
	if !n.ready() || n.do(http.MethodGet, "/quotes/1", "k", "").status != http.StatusOK {
		t.Fatal("the node no longer serves")
	}
}

// authority is the certificate authority of one fleet.
type authority struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{
		t:   t,
		dir: t.TempDir(),
	}
	a.key, a.cert = a.sign("authority", nil, nil)
	return a
}

// sign writes NAME.pem and NAME.key; without a parent the certificate is self-signed.
func (a *authority) sign(name string, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*ecdsa.PrivateKey, *x509.Certificate) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), crand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject: pkix.Name{
			CommonName: name,
		},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  parent == nil,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if parent == nil {
		parent, parentKey = tmpl, key
	}
	der, err := x509.CreateCertificate(crand.Reader, tmpl, parent, &key.PublicKey, parentKey)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", keyDER)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return key, cert
}

func (a *authority) write(name, kind string, der []byte) {
	a.t.Helper()
	b := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	})
	if err := os.WriteFile(filepath.Join(a.dir, name), b, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// node returns the settings of a node with a certificate of this authority, for the
// peers section.
func (a *authority) node(name string) option {
	a.sign(name, a.cert, a.key)
	return func(n *node) {
		n.keys = fmt.Sprintf("certificate = %[1]s/%[2]s.pem\nkey = %[1]s/%[2]s.key\nauthority = %[1]s/authority.pem", a.dir, name)
	}
}

func TestOnlyPeersOfTheAuthorityAreAccepted(t *testing.T) {
	s := newSite(t)
	s.target("quotes", "a", 3)
	s.publishTargets(nil)
	s.platform.Publish("routes", routesDoc(0))
	own, foreign := newAuthority(t), newAuthority(t)
	s.node("a", own.node("one"))
	s.node("b", own.node("two"), withPlatform(unreachable))
	s.allReady()
	strangers := []*node{
		s.node("c", foreign.node("three"), withPlatform(unreachable)),
		s.node("c", withPlatform(unreachable)),
	}
	rev := s.platform.Publish("routes", routesDoc(1))
	for _, n := range s.nodes[:2] {
		eventually(t, "the new revision", func() bool { return n.revision("routes") == rev })
	}
	for i, n := range strangers {
		eventually(t, "more than five calls", func() bool { return n.status().Control.Calls > 5 })
		if st := n.status(); st.Config.Revision != 0 || st.Ready {
			t.Errorf("node %d of another authority has revision %d", i, st.Config.Revision)
		}
	}
}
