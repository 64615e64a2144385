// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// storePath is the path of one machine to the store.
type storePath struct {
	cut atomic.Bool
	// healed is when the last cut ended, in Unix nanoseconds; 0 is never.
	healed atomic.Int64
	// called is when the machine last called the store, in Unix nanoseconds.
	called atomic.Int64
}

// openPaths opens an address for each machine at which it reaches the store.
func (f *fleet) openPaths() error {
	f.paths = map[*machine]*storePath{}
	for _, m := range f.machines {
		lis, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, portStore))
		if err != nil {
			return err
		}
		p := &storePath{}
		f.paths[m] = p
		h := f.store.handler()
		serve(lis, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			p.called.Store(time.Now().UnixNano())
			p.wait(r)
			h.ServeHTTP(w, r)
			p.wait(r)
		}))
	}
	return nil
}

// wait says nothing while the path is cut; a call that met the cut gets no answer afterwards either.
func (p *storePath) wait(r *http.Request) {
	if !p.cut.Load() {
		return
	}
	for p.cut.Load() && r.Context().Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	panic(http.ErrAbortHandler)
}

// heal ends a cut.
func (p *storePath) heal() {
	p.healed.Store(time.Now().UnixNano())
	p.cut.Store(false)
}

// disturbed reports whether the path was cut within the last d.
func (p *storePath) disturbed(d time.Duration) bool {
	return p.cut.Load() || time.Since(time.Unix(0, p.healed.Load())) < d
}

// readers returns the machines that called the store within the last second.
func (f *fleet) readers() []*machine {
	var out []*machine
	for _, m := range f.machines {
		if time.Since(time.Unix(0, f.paths[m].called.Load())) < time.Second {
			out = append(out, m)
		}
	}
	return out
}
