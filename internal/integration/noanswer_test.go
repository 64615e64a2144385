// SPDX-License-Identifier: Apache-2.0

package integration_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/standin/rawanswer"
	"ploverjunction.example/ploverjunction/internal/standin/target"
)

const (
	rawTargets = 4
	// rawPlays bounds the requests for a form until one was sent to a target: targets that sent no answers get fewer.
	rawPlays = 40
	// rawPause is the time between them.
	rawPause = 50 * time.Millisecond
	// rawWait is how long their callers wait, longer than the routes.
	rawWait = 10 * time.Second
)

// rawService is a service whose targets answer in the form that a request names in its key, or in order.
type rawService struct {
	forms map[string]*rawanswer.Form
	// silent is the address of a node that gets no answers.
	silent string
	mu     sync.Mutex
	runs   map[string]int
	// relayed counts the runs by way of a peer.
	relayed map[string]int
}

// formIn separates the form's name from the rest of a key.
const formIn = " in "

func (s *rawService) serve(lis net.Listener) {
	for {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c.(*net.TCPConn))
	}
}

func (s *rawService) serveConn(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	if ip, _, _ := net.SplitHostPort(c.RemoteAddr().String()); ip == s.silent {
		_, _ = io.Copy(io.Discard, br)
		return
	}
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		key := r.Header.Get(target.HeaderKey)
		name, _, _ := strings.Cut(key, formIn)
		form := s.forms[name]
		if form == nil {
			form = &rawanswer.Form{
				Text: "HTTP/1.1 200 OK\r\n{id}Content-Length: 4\r\n\r\ndone",
			}
		}
		s.mu.Lock()
		s.runs[key]++
		if len(r.Header.Values("Via")) > 1 {
			s.relayed[key]++
		}
		s.mu.Unlock()
		id := ""
		if v := r.Header.Get("Plover-Request-Id"); v != "" {
			id = "Plover-Request-Id: " + v + "\r\n"
		}
		if !form.Answer(c, r, id) {
			return
		}
	}
}

// runsOf returns how often a request was run, and how often by way of a peer.
func (s *rawService) runsOf(key string) (all, relayed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key], s.relayed[key]
}

// rawSite returns a site with three nodes, of which the first one gets no answers of targets.
func rawSite(t *testing.T) (*site, *rawService) {
	t.Helper()
	s := newSite(t)
	raw := &rawService{
		forms:   map[string]*rawanswer.Form{},
		silent:  "127.0.1.1",
		runs:    map[string]int{},
		relayed: map[string]int{},
	}
	for _, f := range rawanswer.Forms() {
		raw.forms[f.Name] = &f
	}
	var targets []string
	for i := range rawTargets {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = lis.Close() })
		go raw.serve(lis)
		targets = append(targets, fmt.Sprintf(`{"service":"raw","address":%q,"dataHall":%q,"slots":8,"connections":200}`,
			lis.Addr(), string(rune('a'+i%2))))
	}
	s.platform.Publish("services", fmt.Sprintf(`{"services":[{"name":"raw"}],"targets":[%s]}`, strings.Join(targets, ",")))
	s.platform.Publish("routes", `{"routes":[
		{"name":"safe","pathPrefix":"/safe","service":"raw","class":"read","repeatable":true,"deadline":"3s"},
		{"name":"unsafe","pathPrefix":"/unsafe","service":"raw","class":"write","deadline":"3s"}]}`)
	for i := range 3 {
		s.node(string(rune('a'+i%2)),
			withPeerAddress(fmt.Sprintf("127.0.4.%d:7950", i+1)),
			withExtra("[targets]\nchoice = joint\n"))
	}
	s.allReady()
	attempts := 0
	eventually(t, "an attempt by way of a peer", func() bool {
		attempts++
		key := fmt.Sprintf("probe-%d", attempts)
		s.nodes[0].do(http.MethodPost, "/safe/1", key, "")
		_, relayed := raw.runsOf(key)
		return relayed > 0
	})
	return s, raw
}

// Guards against callers who get what is no answer of a target as a success, as bytes that are no HTTP or as a connection
// that ends without any answer, against a request that runs again for it, and against answers in order that are rejected,
// where their node reaches the target and where a peer does.
func TestTargetsThatSendNoAnswers(t *testing.T) {
	s, raw := rawSite(t)
	for node, way := range []string{"by way of a peer", "direct"} {
		for _, kind := range []string{"unsafe", "safe"} {
			for _, form := range rawanswer.Forms() {
				t.Run(fmt.Sprintf("%s/%s/%s", form.Name, kind, way), func(t *testing.T) {
					raw.play(t, s.nodes[node], &form, kind, node == 0)
				})
			}
		}
	}
}

// play sends requests that are answered in a form until one was run, each with one that is answered in order behind it.
func (s *rawService) play(t *testing.T, n *node, form *rawanswer.Form, kind string, byPeer bool) {
	orderly := rawanswer.Form{
		Method: http.MethodPost,
	}
	for i := range rawPlays {
		if i > 0 {
			time.Sleep(rawPause)
		}
		key := fmt.Sprintf("%s%s%s %d", form.Name, formIn, t.Name(), i)
		r := rawanswer.Call(n.entry, form, "/"+kind+"/1", "Host: a.example\r\n"+target.HeaderKey+": "+key+"\r\n", rawWait)
		runs, relayed := s.runsOf(key)
		if wrong := form.Wrong(r); wrong != "" {
			t.Errorf("%s: status %d, body %q, %v", wrong, r.Status, r.Body, r.Err)
		}
		if outcome := r.Header.Get("Plover-Outcome"); kind == "unsafe" && (runs > 1 || runs > 0 && outcome == "not-run") {
			t.Errorf("status %d, outcome %q, %d runs", r.Status, outcome, runs)
		}
		served := r.Whole && r.Status == form.Status
		r = rawanswer.Call(n.entry, &orderly, "/safe/1", "Host: a.example\r\n"+target.HeaderKey+": "+formIn+key+"\r\n", rawWait)
		if !r.Whole || r.Status == 0 {
			t.Fatalf("no answer to the next request: status %d, %v", r.Status, r.Err)
		}
		if runs == 0 {
			continue
		}
		if form.Use == rawanswer.UseMust && !served {
			t.Error("an answer in order was not passed on")
		}
		if byPeer != (relayed > 0) {
			t.Errorf("%d of %d runs by way of a peer", relayed, runs)
		}
		return
	}
	t.Error("no request was sent to a target")
}
