// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// A configuration that is taken back at once, while one machine is cut from the store.
const (
	// configApply is the bound of the deployment, after which an older version must not act.
	configApply = 2500 * time.Millisecond
	// contact is how long a machine and the store must be without disruption to be in touch.
	contact = 3 * time.Second
	// cutTime is how long one machine is cut from the store in each round, changeAfter the time from the
	// start of the cut to the change, changeGap that to the next change, which takes it back.
	cutTime     = 4 * time.Second
	changeAfter = 500 * time.Millisecond
	changeGap   = 150 * time.Millisecond
	// calmGap is the time between the two without the disruption.
	calmGap = 1500 * time.Millisecond
	rounds  = 8
	// heartbeat is the interval at which each backend writes its entry.
	heartbeat = 1500 * time.Millisecond
)

var rollbackScenario = scenario{
	zones:  smallZones(1),
	bounds: smallBounds(),
	paths:  true,
	play:   playRollback,
}

// rollbackCase holds when the last change was acknowledged and what was run since.
type rollbackCase struct {
	fleet   *fleet
	clients aloneCase
	version int
	mu      sync.Mutex
	// acknowledged is when the change was taken back, the zero time while that isn't judged.
	acknowledged time.Time
	sent         map[string]time.Time
	runs         map[string]int
	late         int
}

func playRollback(f *fleet, trouble bool) (bool, error) {
	r := &rollbackCase{
		fleet: f,
		sent:  map[string]time.Time{},
		runs:  map[string]int{},
	}
	r.publish("beadas")
	for _, service := range []string{"beadas", "beadas-next"} {
		for i := range 8 {
			if _, err := f.addBackend(service, f.zones[i%3].name, r.run); err != nil {
				return false, err
			}
		}
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i, b := range f.backends {
		running.Go(func() { b.renew(time.Duration(i)*heartbeat/time.Duration(len(f.backends)), stop) })
	}
	defer running.Wait()
	defer close(stop)
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	for _, m := range f.machines {
		running.Go(func() { r.ask(m, stop) })
	}
	broken := 0
	for i := range rounds {
		late, err := r.round(trouble)
		if err != nil {
			return false, err
		}
		if late > 0 {
			broken++
		}
		f.rec.line("round %d: %d requests sent later than %v were run by the service that was taken back", i+1, late, configApply)
	}
	f.rec.line("%d of %d rounds; requests by service: %v", broken, rounds, r.runs)
	return broken > 0, nil
}

// round changes the route's service and takes that back, and returns the number of requests that the
// service of the change ran too late.
func (r *rollbackCase) round(trouble bool) (int, error) {
	readers := r.fleet.readers()
	if len(readers) == 0 {
		return 0, errors.New("no machine reads the store")
	}
	path := r.fleet.paths[readers[0]]
	gap := calmGap
	if trouble {
		gap = changeGap
		r.fleet.rec.line("%s is cut from the store", readers[0].name)
		path.cut.Store(true)
	}
	started := time.Now()
	time.Sleep(changeAfter)
	r.publish("beadas-next")
	time.Sleep(gap)
	r.publish("beadas")
	r.mu.Lock()
	r.acknowledged, r.late = time.Now(), 0
	r.mu.Unlock()
	time.Sleep(time.Until(started.Add(cutTime + gap - changeGap)))
	r.mu.Lock()
	r.acknowledged = time.Time{}
	late := r.late
	r.mu.Unlock()
	if trouble {
		path.heal()
		r.fleet.rec.line("the cut has healed")
	}
	time.Sleep(contact + time.Second)
	return late, nil
}

// publish writes the next version of the configuration, in which the route goes to a service.
func (r *rollbackCase) publish(service string) {
	r.version++
	r.fleet.publishConfig(r.version, "hulo84.example", []string{"beadas", "beadas-next"}, []route{{
		Name: "lodge-app", Prefix: "/xapu221/", Type: "unsafe", Timeout: "4000ms", Latency: "2000ms",
		Priority: 1, Service: service, MaxAttempts: 2,
	}})
	r.fleet.rec.line("its route goes to %s", service)
}

// run answers a request, and records one that a machine in touch sent by the configuration that was taken
// back.
func (r *rollbackCase) run(b *backend, c net.Conn, _ *bufio.Reader, req *http.Request) bool {
	id := req.Header.Get(headerID)
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	r.mu.Lock()
	r.runs[b.service]++
	after := r.sent[id].Sub(r.acknowledged)
	if b.service == "beadas-next" && !r.acknowledged.IsZero() && after > configApply {
		r.late++
		if r.late <= 3 {
			r.fleet.rec.line("%s: runs %s, sent %.3f s after the change was taken back", b.id, id, after.Seconds())
		}
	}
	delete(r.sent, id)
	r.mu.Unlock()
	return b.write(c, "200 OK", id, "", "lodged")
}

// ask sends one request after another to a machine while that is in touch.
func (r *rollbackCase) ask(m *machine, stop <-chan struct{}) {
	path := r.fleet.paths[m]
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(askPause):
		}
		if path.disturbed(contact) {
			continue
		}
		id := fmt.Sprintf("%s-%d", m.name, i)
		r.mu.Lock()
		r.sent[id] = time.Now()
		r.mu.Unlock()
		r.clients.post(m, id)
	}
}

// renew writes the entry of the backend at each heartbeat, with the next seq.
func (b *backend) renew(first time.Duration, stop <-chan struct{}) {
	wait := first
	for seq := 2; ; seq++ {
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
		b.publish("ready", seq)
		wait = heartbeat
	}
}
