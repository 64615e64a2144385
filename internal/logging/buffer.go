// SPDX-License-Identifier: Apache-2.0

package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"ploverjunction.example/ploverjunction/internal/memory"
)

// Bounds of a buffer.
const (
	// bufferLines and bufferBytes are the capacity. Lines have about 300 bytes, but callers choose some of what they
	// contain, such as request IDs.
	bufferLines = 4096
	bufferBytes = 4 << 20
	// infoLines and infoBytes are the numbers of waiting lines and bytes from which on info and debug lines are
	// dropped, so that there is room for warnings and errors.
	infoLines = bufferLines / 2
	infoBytes = bufferBytes / 2
	// closeTimeout is how long Close waits for the underlying writer to write the next line, maxClose for all of them.
	closeTimeout = 200 * time.Millisecond
	maxClose     = time.Second
)

// infoMarks are the texts, in either format, of lines that are dropped first.
var infoMarks = [][]byte{
	[]byte(`"level":"info"`),
	[]byte("level=info"),
	[]byte(`"level":"debug"`),
	[]byte("level=debug"),
}

// Buffer is a writer that never blocks: one goroutine writes the lines, and those for
// which there is no room are counted and dropped. It is safe for concurrent use.
type Buffer struct {
	lines chan []byte
	// waiting bounds the bytes of lines.
	waiting *memory.Budget
	stop    chan struct{}
	done    chan error
	dropped atomic.Int64
	// written counts the lines that were written.
	written atomic.Int64
}

// NewBuffer returns a buffer that writes to w until Close.
func NewBuffer(w io.Writer) *Buffer {
	b := &Buffer{
		lines:   make(chan []byte, bufferLines),
		waiting: memory.NewBudget(bufferBytes),
		stop:    make(chan struct{}),
		done:    make(chan error, 1),
	}
	go func() { b.done <- b.run(w) }()
	return b
}

// Write queues one line. It always reports success: a process must not fail because of
// its log.
func (b *Buffer) Write(line []byte) (int, error) {
	if (len(b.lines) >= infoLines || b.waiting.Used() >= infoBytes) && isInfo(line) || !b.waiting.Reserve(int64(len(line))) {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- bytes.Clone(line):
	default:
		b.waiting.Release(int64(len(line)))
		b.dropped.Add(1)
	}
	return len(line), nil
}

func isInfo(line []byte) bool {
	for _, mark := range infoMarks {
		if bytes.Contains(line, mark) {
			return true
		}
	}
	return false
}

// Dropped returns how many lines were dropped since the last line that reported it.
func (b *Buffer) Dropped() int64 { return b.dropped.Load() }

func (b *Buffer) run(w io.Writer) error {
	for {
		select {
		case line := <-b.lines:
			if err := b.writeLine(w, line); err != nil {
				return err
			}
		case <-b.stop:
			return b.flush(w)
		}
	}
}

// flush writes the waiting lines.
func (b *Buffer) flush(w io.Writer) error {
	for {
		select {
		case line := <-b.lines:
			if err := b.writeLine(w, line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

func (b *Buffer) writeLine(w io.Writer, line []byte) error {
	defer b.waiting.Release(int64(len(line)))
	if n := b.dropped.Swap(0); n > 0 {
		if _, err := fmt.Fprintf(w, "{\"level\":\"warning\",\"msg\":\"logging: lines left out\",\"lines\":%d}\n", n); err != nil {
			return fmt.Errorf("logging: write: %w", err)
		}
	}
	if _, err := w.Write(line); err != nil {
		return fmt.Errorf("logging: write: %w", err)
	}
	b.written.Add(1)
	return nil
}

// Close writes the waiting lines and stops the buffer. It gives up after closeTimeout without a line, or maxClose.
func (b *Buffer) Close() {
	close(b.stop)
	end := time.NewTimer(maxClose)
	defer end.Stop()
	for {
		written := b.written.Load()
		step := time.NewTimer(closeTimeout)
		select {
		case <-b.done:
			step.Stop()
			return
		case <-end.C:
			step.Stop()
			return
		case <-step.C:
			if b.written.Load() == written {
				return
			}
		}
	}
}
