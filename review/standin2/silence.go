// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Downloads whose backend is silent for some seconds while their machine gets SIGTERM.
const (
	downloads    = 6
	downloadSize = 90_000
	// beforeSilence is what a backend sends before it is silent.
	beforeSilence = 30_000
	silence       = 7 * time.Second
	// signalAfter is the time from the requests to the SIGTERM. The answers end 3.5 s after it, before
	// the last sixth of a grace of 6 s.
	signalAfter = 3500 * time.Millisecond
	grace       = 6 * time.Second
	// downloadDeadline is that of the clients, in milliseconds; the route has no timeout.
	downloadDeadline = 8_000
)

var silenceScenario = scenario{
	zones:  smallZones(1),
	bounds: smallBounds(),
	play:   playSilence,
}

// silenceCase holds how the downloads ended.
type silenceCase struct {
	fleet   *fleet
	trouble bool
	mu      sync.Mutex
	sent    map[string]bool
	lost    int
	whole   int
}

func playSilence(f *fleet, trouble bool) (bool, error) {
	s := &silenceCase{
		fleet:   f,
		trouble: trouble,
		sent:    map[string]bool{},
	}
	f.publishConfig(1, "jepu9.example", []string{"documente"}, []route{{
		Name: "pachet-contract", Prefix: "/lepu270/", Type: "download", Latency: "1200ms",
		Priority: 2, Service: "documente", MaxAttempts: 2,
	}})
	for _, z := range f.zones {
		for range 2 {
			if _, err := f.addBackend("documente", z.name, s.run); err != nil {
				return false, err
			}
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	m := f.machines[0]
	var clients sync.WaitGroup
	for i := range downloads {
		clients.Go(func() { s.download(m, fmt.Sprintf("down-%d", i)) })
	}
	time.Sleep(signalAfter)
	f.rec.line("SIGTERM to %s", m.name)
	m.signal(syscall.SIGTERM)
	stop := time.AfterFunc(grace, func() {
		f.rec.line("SIGKILL to %s", m.name)
		m.signal(syscall.SIGKILL)
	})
	defer stop.Stop()
	clients.Wait()
	f.rec.line("%d downloads whole, %d lost", s.whole, s.lost)
	if s.whole+s.lost < downloads {
		return false, fmt.Errorf("only %d of %d downloads were judged", s.whole+s.lost, downloads)
	}
	return s.lost > 0, nil
}

// run sends an answer whole. In trouble it is silent for some seconds after the first part.
func (s *silenceCase) run(b *backend, c net.Conn, _ *bufio.Reader, r *http.Request) bool {
	id := r.Header.Get(headerID)
	s.fleet.rec.line("%s: runs %s, deadline %s ms", b.id, id, r.Header.Get(headerDeadline))
	body := bytes.Repeat([]byte("d"), downloadSize)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s.%s.%s\r\nContent-Length: %d\r\n\r\n",
		headerID, id, headerSignature, b.id, id, downloadSize)
	if _, err := c.Write(append([]byte(head), body[:beforeSilence]...)); err != nil {
		return false
	}
	if s.trouble {
		s.fleet.rec.line("%s: sent %d bytes of %s, is silent for %v", b.id, beforeSilence, id, silence)
		if !s.silent(b, c, id) {
			return false
		}
	}
	if _, err := c.Write(body[beforeSilence:]); err != nil {
		s.fleet.rec.line("%s: answer to %s: %v", b.id, id, err)
		return false
	}
	s.fleet.rec.line("%s: sent the whole answer to %s", b.id, id)
	return true
}

// silent waits for the silence, or until the connection closes, and reports whether it is still open.
func (s *silenceCase) silent(b *backend, c net.Conn, id string) bool {
	_ = c.SetReadDeadline(time.Now().Add(silence))
	_, err := c.Read(make([]byte, 1))
	_ = c.SetReadDeadline(time.Time{})
	if e, ok := err.(net.Error); ok && e.Timeout() {
		return true
	}
	s.fleet.rec.line("%s: connection of %s closed while the answer is not whole: %v", b.id, id, err)
	return false
}

func (s *silenceCase) download(m *machine, id string) {
	c, err := net.Dial("tcp", m.front())
	if err != nil {
		s.fleet.rec.line("client: %s: %v", id, err)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(downloadDeadline * time.Millisecond))
	s.fleet.rec.line("client: sends %s to %s", id, m.name)
	fmt.Fprintf(c, "GET /lepu270/%s HTTP/1.1\r\nHost: jepu9.example\r\n%s: %s\r\n%s: %d\r\n\r\n",
		id, headerID, id, headerDeadline, downloadDeadline)
	started := time.Now()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.judge(id, started, 0, 0, err)
		return
	}
	n, err := io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	s.judge(id, started, res.StatusCode, n, err)
}

// judge records how a download ended. One that ended at the client's deadline isn't judged, nor is one
// that was answered with a failure.
func (s *silenceCase) judge(id string, started time.Time, status int, n int64, err error) {
	s.fleet.rec.line("client: %s after %.3f s: status %d, %d of %d bytes, %v", id, time.Since(started).Seconds(), status, n, downloadSize, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := err.(net.Error)
	switch {
	case ok && e.Timeout():
	case err != nil:
		s.lost++
	case status == http.StatusOK && n == downloadSize:
		s.whole++
	}
}
