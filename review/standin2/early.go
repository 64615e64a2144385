// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Uploads whose backend answers before it has read the whole body.
const (
	uploads     = 24
	uploadSize  = 200 << 10
	uploadPiece = 8 << 10
	// uploadPause is the time between two pieces: 8 KiB each 6 ms are some 10 Mbit/s, the slowest
	// link on the pages.
	uploadPause = 6 * time.Millisecond
	// readBefore is what a backend reads before it answers.
	readBefore = 32 << 10
	// answerSize is the size of an answer, more than a node holds in memory. It is sent at the pace of
	// the same link.
	answerSize = 160 << 10
)

var earlyScenario = scenario{
	zones:  smallZones(1),
	bounds: smallBounds(),
	play:   playEarly,
}

// earlyCase holds what was sent and what arrived.
type earlyCase struct {
	fleet   *fleet
	trouble bool
	mu      sync.Mutex
	sent    map[string][]byte
	whole   int
	short   int
	foreign int
	reading sync.WaitGroup
}

func playEarly(f *fleet, trouble bool) (bool, error) {
	e := &earlyCase{
		fleet:   f,
		trouble: trouble,
		sent:    map[string][]byte{},
	}
	f.publishConfig(1, "jepu9.example", []string{"batchin"}, []route{{
		Name: "bulk-file", Prefix: "/fiti832/", Type: "upload", Timeout: "4000ms", Latency: "2000ms",
		Priority: 1, Service: "batchin", MaxAttempts: 2,
	}})
	for _, z := range f.zones {
		for range 2 {
			if _, err := f.addBackend("batchin", z.name, e.run); err != nil {
				return false, err
			}
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	answered := 0
	for i := range uploads {
		if e.upload(f.machines[i%len(f.machines)], fmt.Sprintf("up-%d", i)) {
			answered++
		}
	}
	e.reading.Wait()
	f.rec.line("%d of %d uploads got the head of a success; at backends %d bodies whole, %d ended early, %d with other bytes",
		answered, uploads, e.whole, e.short, e.foreign)
	if answered < uploads/2 {
		return false, fmt.Errorf("only %d of %d uploads were answered", answered, uploads)
	}
	return e.foreign > 0, nil
}

// run reads a body and compares each byte with the one that the client sends there. In trouble it
// answers once it has the first part, keeps the connection open and goes on reading.
func (e *earlyCase) run(b *backend, c net.Conn, _ *bufio.Reader, r *http.Request) bool {
	e.reading.Add(1)
	defer e.reading.Done()
	id := r.Header.Get(headerID)
	e.mu.Lock()
	want := e.sent[id]
	e.mu.Unlock()
	e.fleet.rec.line("%s: runs %s", b.id, id)
	got := make([]byte, 0, len(want))
	buf := make([]byte, 4<<10)
	answered := false
	var answer sync.WaitGroup
	defer answer.Wait()
	foreign := -1
	var err error
	for err == nil {
		var n int
		n, err = r.Body.Read(buf)
		got = append(got, buf[:n]...)
		if foreign < 0 && !bytes.HasPrefix(want, got) {
			foreign = len(got) - n
			for got[foreign] == want[foreign] {
				foreign++
			}
			e.fleet.rec.line("%s: body of %s has other bytes from %d on, of %d", b.id, id, foreign, len(want))
		}
		if e.trouble && !answered && len(got) >= readBefore {
			answered = true
			e.fleet.rec.line("%s: begins to answer %s after %d bytes", b.id, id, len(got))
			answer.Add(1)
			go func() {
				defer answer.Done()
				e.answer(b, c, id)
			}()
		}
	}
	whole := err == io.EOF && len(got) == len(want) && foreign < 0
	e.mu.Lock()
	switch {
	case foreign >= 0:
		e.foreign++
	case whole:
		e.whole++
	default:
		e.short++
	}
	e.mu.Unlock()
	e.fleet.rec.line("%s: body of %s: %d of %d bytes arrived, end %v", b.id, id, len(got), len(want), err)
	if !whole {
		return false
	}
	if !answered {
		e.answer(b, c, id)
	}
	return true
}

// answer sends the answer at the pace of a link.
func (e *earlyCase) answer(b *backend, c net.Conn, id string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s.%s.%s\r\nContent-Length: %d\r\n\r\n",
		headerID, id, headerSignature, b.id, id, answerSize)
	piece := bytes.Repeat([]byte("."), uploadPiece)
	for sent := 0; sent < answerSize; sent += len(piece) {
		if _, err := c.Write(piece); err != nil {
			e.fleet.rec.line("%s: answer to %s after %d bytes: %v", b.id, id, sent, err)
			return
		}
		time.Sleep(uploadPause)
	}
}

// upload sends one body at the pace of a link and reads the answer. It reports whether that
// begins as a success.
func (e *earlyCase) upload(m *machine, id string) bool {
	body := make([]byte, uploadSize)
	for i := range body {
		body[i] = byte(rand.Uint32())
	}
	e.mu.Lock()
	e.sent[id] = body
	e.mu.Unlock()
	c, err := net.Dial("tcp", m.front())
	if err != nil {
		e.fleet.rec.line("client: %s: %v", id, err)
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	e.fleet.rec.line("client: sends %s, %d bytes, to %s", id, len(body), m.name)
	fmt.Fprintf(c, "POST /fiti832/ti23/%s HTTP/1.1\r\nHost: jepu9.example\r\n%s: %s\r\n%s: 5000\r\nContent-Length: %d\r\n\r\n",
		id, headerID, id, headerDeadline, len(body))
	go func() {
		for piece := body; len(piece) > 0; {
			n := min(len(piece), uploadPiece)
			if _, err := c.Write(piece[:n]); err != nil {
				return
			}
			piece = piece[n:]
			time.Sleep(uploadPause)
		}
	}()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		e.fleet.rec.line("client: %s: no answer: %v", id, err)
		return false
	}
	answer, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	e.fleet.rec.line("client: %s: answered %d, %d bytes, %s %v", id, res.StatusCode, len(answer), res.Header.Get(headerSignature), err)
	return res.StatusCode == http.StatusOK
}
