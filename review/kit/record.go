// SPDX-License-Identifier: Apache-2.0

package kit

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is the file with what was sent, answered and run. It may be used concurrently.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates record.txt in the folder of a case.
func NewRecord(dir string) (*Record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{
		file:    f,
		started: time.Now(),
	}, nil
}

// Printf writes a line with the time in seconds since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// Main runs a case with its time limit and exits with its result. play gets whether the disruption takes
// place; its error means that the case could not run.
func Main(dir string, play func(ctx context.Context, r *Record, trouble bool) (broken bool, err error)) {
	os.Exit(run(dir, play))
}

// limit is less than the 120 seconds that a case may take.
const limit = 110 * time.Second

func run(dir string, play func(ctx context.Context, r *Record, trouble bool) (bool, error)) int {
	r, err := NewRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer r.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	broken, err := play(ctx, r, os.Getenv("TROUBLE") != "0")
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	switch {
	case err != nil:
		r.Printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	case broken:
		r.Printf("result: the rule was broken")
		fmt.Println("broken")
		return Broken
	default:
		r.Printf("result: the rule held")
		fmt.Println("held")
		return Held
	}
}
