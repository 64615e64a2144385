// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"strconv"
	"time"
)

// restartName selects the measurement of restarts in --only.
const restartName = "restart"

// restartFile is the file of the raw figures of restarts.
const restartFile = restartName + ".csv"

// restartRow is one restart of a node with the whole configuration.
type restartRow struct {
	// Ready is the time from the start of the process until it was ready.
	Ready time.Duration
	// Received is the number of bytes received from peers until then.
	Received int64
}

// restartColumns are the columns of restartFile.
var restartColumns = []string{"run", "ready after (ms)", "bytes from peers"}

// measureRestarts restarts, one after another, the nodes of a fleet with a configuration
// of the goal size.
func measureRestarts(b *bench) ([]restartRow, error) {
	p := basePoint()
	p.nodes = 4
	p.services = goalServices
	p.perService = goalTargets / goalServices
	p.routes = goalRoutes
	p.workspaces = goalWorkspaces
	f, err := b.startFleet(p)
	if f == nil {
		return nil, err
	}
	defer func() { _ = f.stop() }()
	if err != nil {
		return nil, err
	}
	var out []restartRow
	for i := range f.procs {
		row, err := f.restart(i)
		if err != nil {
			return nil, err
		}
		fmt.Printf("restart %+v\n", row)
		out = append(out, row)
	}
	return out, nil
}

func (f *fleet) restart(i int) (restartRow, error) {
	f.procs[i].Kill()
	f.proxies[i].Reset()
	started := time.Now()
	p, err := f.startNode(i)
	if err != nil {
		return restartRow{}, err
	}
	f.procs[i] = p
	for time.Since(started) < readyTimeout {
		if s := p.BriefStatus(); s != nil && s.Ready {
			return restartRow{
				Ready:    time.Since(started),
				Received: s.Control.BytesReceived,
			}, nil
		}
		time.Sleep(time.Millisecond)
	}
	return restartRow{}, &notReadyError{
		want: 1,
	}
}

func writeRestarts(path string, list []restartRow) error {
	rows := [][]string{restartColumns}
	for i, r := range list {
		rows = append(rows, []string{
			strconv.Itoa(i + 1),
			strconv.FormatInt(r.Ready.Milliseconds(), 10),
			strconv.FormatInt(r.Received, 10),
		})
	}
	return writeRows(path, rows)
}

func readRestarts(path string) ([]restartRow, error) {
	rows, err := readRows(path)
	if err != nil {
		return nil, err
	}
	var out []restartRow
	for _, row := range rows[1:] {
		v, err := parseFloats(path, row)
		if err != nil {
			return nil, err
		}
		out = append(out, restartRow{
			Ready:    time.Duration(v[1]) * time.Millisecond,
			Received: int64(v[2]),
		})
	}
	return out, nil
}

// worstRestart returns the longest time and the greatest number of bytes.
func worstRestart(list []restartRow) restartRow {
	var out restartRow
	for _, r := range list {
		out.Ready = max(out.Ready, r.Ready)
		out.Received = max(out.Received, r.Received)
	}
	return out
}
