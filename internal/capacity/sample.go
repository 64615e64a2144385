// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// sample holds the measurements of one run of a point, as means per node.
type sample struct {
	// sent and received are bytes per second on the links between nodes.
	sent, received float64
	// calls is the number of calls to peers per second.
	calls float64
	// cpu is the processor time in percent of one core.
	cpu float64
	// memory is the resident memory in MB.
	memory float64
	// platform is the number of calls per minute to the platform by the whole fleet.
	platform float64
}

// counters are the cumulative counters of all processes at one time.
type counters struct {
	at                    time.Time
	sent, received, calls int64
	cpu                   time.Duration
	platform              int64
}

// clockTick is the unit of processor times in /proc (USER_HZ), constant on Linux.
const clockTick = 10 * time.Millisecond

// run starts the fleet of a point and measures it once.
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
	go func() { ended <- f.generateLoad(stop) }()
	// The first window is not measured: it includes the work of the start.
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
	return before.rates(after, len(f.procs), memory), err
}

// loadError reports that too many requests of a load failed.
type loadError struct {
	sent, failed int64
}

// Error returns how many requests failed.
func (e *loadError) Error() string {
	return fmt.Sprintf("capacity: %d of %d requests failed", e.failed, e.sent)
}

// generateLoad generates the changes or requests of the point until stop is closed.
func (f *fleet) generateLoad(stop <-chan struct{}) error {
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

// rates returns the rates between a and the later counters b, with the given mean memory.
func (a counters) rates(b counters, nodes int, memory float64) sample {
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
		s := p.BriefStatus()
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

// cpuTime returns the processor time of a process, from fields 14 and 15 of
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
