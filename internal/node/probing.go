// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/outlier"
)

// Times and bounds of probes.
const (
	probeBeat     = time.Second
	probeTimeout  = 900 * time.Millisecond
	probesAtOnce  = 32
	probesPerHost = 1
)

// probing asks the health endpoints of targets whether they are leaving. One
// node of the fleet probes the targets of a service. A probe's answer never
// clears a target and its failure never condemns one: such endpoints answer
// while real work stalls.
type probing struct {
	board  *Board
	report func(now time.Time, evidence []outlier.Evidence)
	client *http.Client
}

func newProbing(board *Board, report func(time.Time, []outlier.Evidence)) *probing {
	return &probing{
		board:  board,
		report: report,
		client: &http.Client{
			Timeout: probeTimeout,
			Transport: &http.Transport{
				MaxIdleConnsPerHost: probesPerHost,
				IdleConnTimeout:     time.Minute,
			},
		},
	}
}

// run probes at each beat until the context ends.
func (p *probing) run(ctx context.Context) error {
	defer p.client.CloseIdleConnections()
	beat := time.NewTicker(probeBeat)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-beat.C:
			p.probeAll(ctx)
		}
	}
}

func (p *probing) probeAll(ctx context.Context) {
	cfg := p.board.currentConfig()
	if cfg == nil {
		return
	}
	view := p.board.view.Load()
	slots := make(chan struct{}, probesAtOnce)
	var all sync.WaitGroup
	for _, s := range cfg.Services() {
		first := view.Duty(duty(s.Name()), "", 1)
		if s.HealthPath() == "" || len(first) == 0 || first[0] != view.Self() {
			continue
		}
		for _, t := range s.Targets() {
			slots <- struct{}{}
			all.Go(func() {
				defer func() { <-slots }()
				p.probe(ctx, s, t)
			})
		}
	}
	all.Wait()
}

func (p *probing) probe(ctx context.Context, s *fleetconfig.Service, t *fleetconfig.Target) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address()+s.HealthPath(), nil)
	if err != nil {
		return
	}
	res, err := p.client.Do(req)
	if err != nil {
		return
	}
	_ = res.Body.Close()
	if !forward.Leaving(res.Header) {
		return
	}
	p.report(time.Now(), []outlier.Evidence{
		{
			Service: s.Name(),
			Counts: outlier.Counts{
				Target:  t.Address(),
				Leaving: true,
			},
		},
	})
}
