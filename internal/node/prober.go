// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/contract"
	"ploverjunction.example/ploverjunction/internal/fleetconfig"
	"ploverjunction.example/ploverjunction/internal/forward"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/signal"
	"ploverjunction.example/ploverjunction/internal/task"
)

// Times and bounds of probes.
const (
	probeInterval = time.Second
	probeTimeout  = 900 * time.Millisecond
	probesAtOnce  = 32
	probesPerHost = 1
	// maxProbeBody is the size in bytes up to which the body of an answer is checked. Health endpoints send less.
	maxProbeBody = 64 << 10
)

// prober requests the health endpoints of targets to find those that are draining. One node of the
// fleet probes the targets of a service. The answer of a probe never clears a target and its
// failure never ejects one: such endpoints answer while real requests stall.
type prober struct {
	board    *Board
	report   func(now time.Time, evidence []outlier.Evidence)
	contract *contract.Contract
	client   *http.Client
	log      *logrus.Entry
	// observeLoad receives the load in the answer to a probe that was sent at sent.
	observeLoad func(now time.Time, t *fleetconfig.Target, load signal.Load, sent time.Time)
}

func newProber(board *Board, c *contract.Contract, report func(time.Time, []outlier.Evidence), log *logrus.Entry) *prober {
	return &prober{
		board:       board,
		report:      report,
		contract:    c,
		log:         log,
		observeLoad: func(time.Time, *fleetconfig.Target, signal.Load, time.Time) {},
		client: &http.Client{
			Timeout:       probeTimeout,
			CheckRedirect: sameHost,
			Transport: &http.Transport{
				DialContext:         forward.ScanChecks((&net.Dialer{}).DialContext),
				MaxIdleConnsPerHost: probesPerHost,
				IdleConnTimeout:     time.Minute,

				MaxResponseHeaderBytes: forward.MaxAnswerHeader,
			},
		},
	}
}

// run probes at each tick until the context ends.
func (p *prober) run(ctx context.Context) error {
	defer p.client.CloseIdleConnections()
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			p.probeAll(ctx)
		}
	}
}

func (p *prober) probeAll(ctx context.Context) {
	cfg := p.board.currentConfig()
	if cfg == nil {
		return
	}
	view := p.board.view.Load()
	slots := make(chan struct{}, probesAtOnce)
	var all task.Group
	for _, s := range cfg.Services() {
		first := view.Role(observerRole(s.Name()), "", 1)
		if s.HealthPath() == "" || len(first) == 0 || first[0] != view.Self() {
			continue
		}
		for _, t := range s.Targets() {
			now := time.Now()
			status := p.board.targetStatus(now, t)
			if status.Backoff > 0 || !p.board.shares.take(now, t.Key(), status.Limit, p.board.turnOrder()) {
				continue
			}
			slots <- struct{}{}
			all.Go(ctx, "probe", func(ctx context.Context) error {
				defer func() { <-slots }()
				return p.probe(ctx, s, t)
			})
		}
	}
	if err := all.Wait(); err != nil {
		p.log.WithError(err).Debug("probes failed")
	}
}

func (p *prober) probe(ctx context.Context, s *fleetconfig.Service, t *fleetconfig.Target) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address()+s.HealthPath(), nil)
	if err != nil {
		return fmt.Errorf("node: probe: %w", err)
	}
	sent := time.Now()
	res, err := p.client.Do(req)
	if err != nil {
		return fmt.Errorf("node: probe: %w", err)
	}
	received := time.Now()
	_, err = io.CopyN(io.Discard, res.Body, maxProbeBody)
	_ = res.Body.Close()
	// The head of an answer whose body only takes long counts.
	if err != nil && !errors.Is(err, io.EOF) && !isTimeout(err) {
		return fmt.Errorf("node: probe: %w", err)
	}
	sig, err := forward.SignalOf(p.contract, res)
	p.observeLoad(received, t, sig.Load, sent)
	observed := p.board.signals.Observe(time.Now(), incarnationOf(t), sig)
	if observed.Changed {
		p.log.WithField("service", s.Name()).WithField("target", t.Key()).WithField("leaving", sig.Draining).
			WithField("rest_ms", sig.Backoff.Milliseconds()).Info("target says what it wants")
	}
	if err != nil && (observed.Unreadable || !sig.LimitUnreadable && !sig.LoadUnreadable) {
		p.log.WithField("service", s.Name()).WithField("target", t.Key()).WithError(err).Warn("target asks for what can't be read")
	}
	if !sig.Draining {
		return nil
	}
	p.report(time.Now(), []outlier.Evidence{
		{
			Service: s.Name(),
			Counts: outlier.Counts{
				Target:   t.Key(),
				Draining: true,
			},
		},
	})
	return nil
}

// maxRedirects is the greatest number of redirections that a probe follows.
const maxRedirects = 10

// sameHost follows redirections within a target, such as to a path with a slash at its end. What another host answers says nothing of
// the target, so that the redirection itself is the answer.
func sameHost(req *http.Request, via []*http.Request) error {
	if req.URL.Scheme != via[0].URL.Scheme || req.URL.Host != via[0].URL.Host || len(via) > maxRedirects {
		return http.ErrUseLastResponse
	}
	return nil
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
