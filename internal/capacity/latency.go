// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"ploverjunction.example/ploverjunction/internal/balance"
)

// latencyRates are the rates, in requests per second, at which added latency is measured.
var latencyRates = []float64{210, 1000, 3000}

// latencyTime is how long each rate is applied.
const latencyTime = 5 * time.Second

// latencyRow holds the latencies at one rate, in microseconds.
type latencyRow struct {
	Rate                       float64
	DirectP50, DirectP99       int64
	ThroughP50, ThroughP99     int64
	AddedP50, AddedP99, Failed int64
}

// latencyResult holds the rows of a measurement.
type latencyResult struct {
	Rows []latencyRow
}

// measureLatency sends requests at steady rates to a target, first directly and then
// through one node.
func measureLatency(b *bench) (*latencyResult, error) {
	p := basePoint()
	p.nodes = 1
	p.workspaces = 0
	f, err := b.startFleet(p)
	if f == nil {
		return nil, err
	}
	defer func() { _ = f.stop() }()
	if err != nil {
		return nil, err
	}
	direct := "http://" + f.targetAddress(0, 0) + "/s0/r0/x"
	through := "http://" + f.procs[0].Entry() + "/s0/r0/x"
	out := &latencyResult{}
	for _, rate := range latencyRates {
		d, df := sendAtRate(direct, rate)
		t, tf := sendAtRate(through, rate)
		row := latencyRow{
			Rate:       rate,
			DirectP50:  quantile(d, 50),
			DirectP99:  quantile(d, 99),
			ThroughP50: quantile(t, 50),
			ThroughP99: quantile(t, 99),
			Failed:     df + tf,
		}
		row.AddedP50 = row.ThroughP50 - row.DirectP50
		row.AddedP99 = row.ThroughP99 - row.DirectP99
		fmt.Printf("latency %+v\n", row)
		out.Rows = append(out.Rows, row)
	}
	return out, nil
}

// sendAtRate sends requests in an open loop, each at its scheduled time whether or not
// earlier ones have completed, and returns their sorted latencies.
func sendAtRate(url string, rate float64) (took []time.Duration, failed int64) {
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 512,
		},
		Timeout: 5 * time.Second,
	}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var wg sync.WaitGroup
	count := int(rate * latencyTime.Seconds())
	started := time.Now()
	for i := range count {
		due := started.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		wg.Go(func() {
			sent := time.Now()
			res, err := client.Get(url)
			if err == nil {
				_ = res.Body.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil || res.StatusCode != http.StatusOK {
				failed++
				return
			}
			took = append(took, time.Since(sent))
		})
	}
	wg.Wait()
	slices.Sort(took)
	return took, failed
}

func quantile(sorted []time.Duration, percent int) int64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[(len(sorted)-1)*percent/100].Microseconds()
}

// connectionRow holds the connections to a service's pool of one size in a fleet of
// goalNodes.
type connectionRow struct {
	Targets int
	// Subset is the number of targets that a node uses, Most the greatest number of
	// connections to one target.
	Subset int
	Most   int
}

// poolSizes are the sizes of the users' pools and the mean at the goal size.
var poolSizes = []int{6, 9, 16, 20, goalTargets / goalServices}

// connections computes, with the fleet's balancer, the connections that goalNodes nodes
// open together.
func (p *page) connections() {
	for _, n := range poolSizes {
		p.Connections = append(p.Connections, connectionsOf(n))
	}
}

func connectionsOf(targets int) connectionRow {
	var members []balance.Member
	for i := range targets {
		members = append(members, balance.Member{
			Key:         fmt.Sprintf("192.0.2.%d:80", i),
			Slots:       3,
			Connections: 200,
			Gauge:       &balance.Gauge{},
		})
	}
	row := connectionRow{
		Targets: targets,
	}
	uses := map[string]int{}
	for n := range goalNodes {
		pool := balance.NewPool(members, 0, fmt.Sprintf("node-%d", n), goalNodes)
		row.Subset = pool.Len()
		for _, a := range pool.Keys() {
			uses[a] += pool.Limit(a)
		}
	}
	for _, n := range uses {
		row.Most = max(row.Most, n)
	}
	return row
}
