// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// Parts of what the settings allow that are used. Parts of the fleet that lost each
// other have a dispatcher each, so that two reserves may be spent in one window.
const (
	usableShare   = 0.95
	usableReserve = 0.5
	// windowBuckets is into how many parts the window is divided.
	windowBuckets = 20
)

// Budget bounds what is sent beyond the first attempt of each request.
type Budget struct {
	// Share is the number of repeats that each request pays for.
	Share float64
	// Reserve is how many more there may be in each window.
	Reserve float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// window counts first attempts and repeats in a sliding window.
type window struct {
	firsts  [windowBuckets]float64
	retries [windowBuckets]float64
	bucket  int64
	// since is when this desk began to serve, last its last ask.
	since       time.Time
	lastRequest time.Time
}

// recordRequest notes an ask. A desk that got none for a while has just taken up the role.
func (w *window) recordRequest(now time.Time, b Budget) {
	if now.Sub(w.lastRequest) > b.Window/2 {
		w.since = now
	}
	w.lastRequest = now
}

// advance drops the parts that have left the window.
func (w *window) advance(now time.Time, begun time.Time, b Budget) {
	bucket := int64(now.Sub(begun) / (b.Window / windowBuckets))
	for w.bucket < bucket {
		w.bucket++
		w.firsts[w.bucket%windowBuckets] = 0
		w.retries[w.bucket%windowBuckets] = 0
		if bucket-w.bucket > windowBuckets {
			w.bucket = bucket - windowBuckets
		}
	}
}

func (w *window) addFirst(n float64) { w.firsts[w.bucket%windowBuckets] += n }
func (w *window) addRetry(n float64) { w.retries[w.bucket%windowBuckets] += n }

// sums returns the first attempts and the repeats in the window.
func (w *window) sums() (firsts, repeats float64) {
	for i := range w.firsts {
		firsts += w.firsts[i]
		repeats += w.retries[i]
	}
	return firsts, repeats
}

// allowed returns how many repeats the budget pays for in the window, and spent how
// many of them were made. part is the share of the reserve that this desk may use.
func (w *window) allowed(now time.Time, b Budget, share float64) (all, spent float64) {
	// Whoever had the role before may have spent what the window allows.
	share *= min(now.Sub(w.since).Seconds()/b.Window.Seconds(), 1)
	firsts, repeats := w.sums()
	return usableShare*b.Share*firsts + usableReserve*b.Reserve*share, repeats
}
