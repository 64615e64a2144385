// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"sync/atomic"
	"time"
)

// watchdog cancels an attempt that makes no progress in time.
type watchdog struct {
	timer   *time.Timer
	expired atomic.Bool
}

func newWatchdog(after time.Duration, cancel context.CancelFunc) *watchdog {
	w := &watchdog{}
	w.timer = time.AfterFunc(after, func() {
		w.expired.Store(true)
		cancel()
	})
	return w
}

// reset restarts the timer.
func (w *watchdog) reset(after time.Duration) { w.timer.Reset(after) }

func (w *watchdog) stop() { w.timer.Stop() }

// fired reports whether the timer expired.
func (w *watchdog) fired() bool { return w.expired.Load() }
