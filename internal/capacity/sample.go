// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// sample is what one run of a point measured, for each node on average.
type sample struct {
	// Bytes a second sent and received on the links between nodes.
	sent, received float64
	// Calls a second to peers.
	calls float64
	// Processor time in percent of one core.
	cpu float64
	// Resident memory in MB.
	memory float64
	// Calls a minute on the platform by the whole fleet.
	platform float64
}

// counters are what the processes have used up to a moment.
type counters struct {
	at                    time.Time
	sent, received, calls int64
	cpu                   time.Duration
	platform              int64
}

// clockTick is the unit of processor times in /proc; Linux fixes it for programs.
const clockTick = 10 * time.Millisecond

// run measures one point once.
func (b *bench) run(p point) (sample, error) {
	f, err := b.startFleet(p)
	if f == nil {
		return sample{}, err
	}
	defer func() { _ = f.stop() }()
	if err != nil {
		return sample{}, err
	}
	stop := make(chan struct{})
	ended := make(chan error, 1)
	go func() { ended <- f.drive(stop) }()
	// The work of the start must not count: wait for one window.
	time.Sleep(b.window)
	before, err := f.readCounters()
	if err != nil {
		return sample{}, err
	}
	time.Sleep(b.window)
	after, err := f.readCounters()
	if err != nil {
		return sample{}, err
	}
	memory, err := f.memory()
	close(stop)
	if derr := <-ended; err == nil {
		err = derr
	}
	return before.until(after, len(f.procs), memory), err
}

// loadError is a load of which requests failed.
type loadError struct {
	sent, failed int64
}

// Error says how many failed.
func (e *loadError) Error() string {
	return fmt.Sprintf("capacity: %d of %d requests failed", e.failed, e.sent)
}

// drive makes the changes and requests of the point until stop is closed.
func (f *fleet) drive(stop <-chan struct{}) error {
	if f.point.requests > 0 {
		sent, failed := f.load(stop)
		if failed > sent/100 {
			return &loadError{
				sent:   sent,
				failed: failed,
			}
		}
		return nil
	}
	if f.point.changes > 0 {
		tick := time.NewTicker(time.Duration(float64(time.Second) / f.point.changes))
		defer tick.Stop()
		for version := 0; ; version++ {
			select {
			case <-stop:
				return nil
			case <-tick.C:
				f.publishChange(version, f.point.changeSize)
			}
		}
	}
	<-stop
	return nil
}

func (a counters) until(b counters, nodes int, memory float64) sample {
	seconds := b.at.Sub(a.at).Seconds()
	each := seconds * float64(nodes)
	return sample{
		sent:     float64(b.sent-a.sent) / each,
		received: float64(b.received-a.received) / each,
		calls:    float64(b.calls-a.calls) / each,
		cpu:      100 * (b.cpu - a.cpu).Seconds() / each,
		memory:   memory,
		platform: 60 * float64(b.platform-a.platform) / seconds,
	}
}

func (f *fleet) readCounters() (counters, error) {
	c := counters{
		at:       time.Now(),
		platform: f.platform.Calls(),
	}
	for _, p := range f.procs {
		cpu, err := cpuTime(p.PID())
		if err != nil {
			return c, err
		}
		c.cpu += cpu
	}
	for _, p := range f.procs {
		s := p.Brief()
		if s == nil {
			return c, &notReadyError{
				want: len(f.procs),
			}
		}
		c.sent += s.Control.BytesSent
		c.received += s.Control.BytesReceived
		c.calls += s.Control.Calls
	}
	return c, nil
}

// cpuTime reads the processor time of a process: fields 14 and 15 of
// /proc/PID/stat (proc(5)).
func cpuTime(pid int) (time.Duration, error) {
	b, err := os.ReadFile(statFile(pid, "stat"))
	if err != nil {
		return 0, fmt.Errorf("capacity: %w", err)
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	ticks := 0
	for _, i := range []int{user, system} {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			return 0, fmt.Errorf("capacity: %w", err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// memory returns the mean resident memory of the processes in MB.
func (f *fleet) memory() (float64, error) {
	total := 0.0
	for _, p := range f.procs {
		b, err := os.ReadFile(statFile(p.PID(), "status"))
		if err != nil {
			return 0, fmt.Errorf("capacity: %w", err)
		}
		_, rest, _ := strings.Cut(string(b), "VmRSS:")
		kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
		if err != nil {
			return 0, fmt.Errorf("capacity: %w", err)
		}
		total += kb / 1000
	}
	return total / float64(len(f.procs)), nil
}
