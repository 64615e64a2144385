// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// One machine of a deployment stays while the others are lost; backends leave meanwhile.
const (
	// drain is the bound of the deployment, after which a backend that left gets no request.
	drain = 2 * time.Second
	// settle is the time from the loss to the first change: the machine that stays is in touch, and so
	// is the store.
	settle = 4 * time.Second
	// changes is how many backends leave, changeEvery apart; each serves on for as long.
	changes     = 4
	changeEvery = 5 * time.Second
	askers      = 4
	askPause    = 20 * time.Millisecond
)

var aloneScenario = scenario{
	zones:  aloneZones(),
	bounds: smallBounds(),
	play:   playAlone,
}

// aloneZones are three zones with 16, 12 and 8 machines, as at the first site.
func aloneZones() []zone {
	out := smallZones(0)
	for i, n := range []int{16, 12, 8} {
		out[i].machines = n
	}
	return out
}

// aloneCase holds when backends left and which requests reached them afterwards.
type aloneCase struct {
	fleet *fleet
	mu    sync.Mutex
	left  map[string]time.Time
	runs  int
	late  int
	worst time.Duration
}

func playAlone(f *fleet, trouble bool) (bool, error) {
	a := &aloneCase{
		fleet: f,
		left:  map[string]time.Time{},
	}
	f.publishConfig(1, "hulo84.example", []string{"rezervari"}, []route{{
		Name: "rezervare-oferta", Prefix: "/xapu221/", Type: "unsafe", Timeout: "3000ms", Latency: "1000ms",
		Priority: 1, Service: "rezervari", MaxAttempts: 2,
	}})
	for i := range 16 {
		if _, err := f.addBackend("rezervari", f.zones[i%3].name, a.run); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	stays := f.machines[len(f.machines)/2]
	if trouble {
		a.lose(stays)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range askers {
		clients.Go(func() { a.ask(stays, i, stop) })
	}
	time.Sleep(settle)
	for i := range changes {
		b := f.backends[3*i]
		f.store.remove("servers/" + b.id)
		a.mu.Lock()
		a.left[b.id] = time.Now()
		a.mu.Unlock()
		f.rec.line("store: entry of %s is gone, acknowledged", b.id)
		time.Sleep(changeEvery)
	}
	close(stop)
	clients.Wait()
	f.rec.line("%d requests run; %d reached a backend more than %v after it had left, the last %.3f s after", a.runs, a.late, drain, a.worst.Seconds())
	if a.runs < 100 {
		return false, fmt.Errorf("only %d requests were run", a.runs)
	}
	return a.late > 0, nil
}

// lose kills all machines but one; they don't return while the case runs.
func (a *aloneCase) lose(stays *machine) {
	for _, m := range a.fleet.machines {
		if m != stays {
			m.signal(syscall.SIGKILL)
		}
	}
	a.fleet.rec.line("SIGKILL to all machines but %s", stays.name)
}

// run answers a request, and records one that comes too late.
func (a *aloneCase) run(b *backend, c net.Conn, _ *bufio.Reader, r *http.Request) bool {
	now := time.Now()
	id := r.Header.Get(headerID)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	a.mu.Lock()
	a.runs++
	at, gone := a.left[b.id]
	after := now.Sub(at)
	if gone && after > drain {
		a.late++
		a.worst = max(a.worst, after)
	}
	a.mu.Unlock()
	if gone {
		a.fleet.rec.line("%s: runs %s, %.3f s after it left", b.id, id, after.Seconds())
	}
	return b.write(c, "200 OK", id, "", "reserved")
}

// ask sends one request after another, each on a connection of its own.
func (a *aloneCase) ask(m *machine, client int, stop <-chan struct{}) {
	answers := map[int]int{}
	for i := 0; ; i++ {
		select {
		case <-stop:
			a.fleet.rec.line("client %d: answers by status: %v", client, answers)
			return
		default:
		}
		answers[a.post(m, fmt.Sprintf("c%d-%d", client, i))]++
		time.Sleep(askPause)
	}
}

// post sends one request and returns the status of the answer, 0 for none.
func (a *aloneCase) post(m *machine, id string) int {
	c, err := net.DialTimeout("tcp", m.front(), time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	fmt.Fprintf(c, "POST /xapu221/%s HTTP/1.1\r\nHost: hulo84.example\r\n%s: %s\r\n%s: 6000\r\nContent-Length: 5\r\nConnection: close\r\n\r\noffer",
		id, headerID, id, headerDeadline)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode
}
