// SPDX-License-Identifier: Apache-2.0

package dispatch

import "time"

// Shares of the configured budget that are used. Partitions of the network have a dispatcher each,
// so that two reserves may be spent in one window.
const (
	usableShare   = 0.95
	usableReserve = 0.5
	// windowBuckets is the number of buckets in a window.
	windowBuckets = 20
)

// Budget bounds the attempts beyond the first one of each request.
type Budget struct {
	// Share is the number of retries that each request pays for.
	Share float64
	// Reserve is the number of further retries in each window.
	Reserve float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// window counts first attempts and retries in a sliding window.
type window struct {
	firsts  [windowBuckets]float64
	retries [windowBuckets]float64
	// earned is the part of the first attempts that pays for retries.
	earned [windowBuckets]float64
	bucket int64
	// since is when this scheduler began to serve, lastRequest when it got its last grant request.
	since       time.Time
	lastRequest time.Time
}

// recordRequest records a grant request. A scheduler that got none for half a window has just taken up
// the role of dispatcher.
func (w *window) recordRequest(now time.Time, b Budget) {
	if now.Sub(w.lastRequest) > b.Window/2 {
		w.since = now
	}
	w.lastRequest = now
}

// complete reports whether the scheduler has served for a whole window, so that it knows what it
// granted in it.
func (w *window) complete(b Budget) bool { return w.lastRequest.Sub(w.since) >= b.Window }

// advance drops the buckets that have left the window.
func (w *window) advance(now time.Time, started time.Time, b Budget) {
	bucket := int64(now.Sub(started) / (b.Window / windowBuckets))
	for w.bucket < bucket {
		w.bucket++
		w.firsts[w.bucket%windowBuckets] = 0
		w.retries[w.bucket%windowBuckets] = 0
		w.earned[w.bucket%windowBuckets] = 0
		if bucket-w.bucket > windowBuckets {
			w.bucket = bucket - windowBuckets
		}
	}
}

func (w *window) addFirst(n float64) { w.firsts[w.bucket%windowBuckets] += n }
func (w *window) earn(n float64)     { w.earned[w.bucket%windowBuckets] += n }
func (w *window) addRetry(n float64) { w.retries[w.bucket%windowBuckets] += n }

// sums returns the first attempts and the retries in the window.
func (w *window) sums() (firsts, retries float64) {
	for i := range w.firsts {
		firsts += w.firsts[i]
		retries += w.retries[i]
	}
	return firsts, retries
}

// allowed returns the retries that the budget allows in the window and those spent. share is the
// share of the reserve that this scheduler may use.
func (w *window) allowed(now time.Time, b Budget, share float64) (all, spent float64) {
	// The previous dispatcher may have spent what the window allows.
	share *= min(now.Sub(w.since).Seconds()/b.Window.Seconds(), 1)
	_, retries := w.sums()
	earned := 0.0
	for _, n := range w.earned {
		earned += n
	}
	return usableShare*b.Share*earned + usableReserve*b.Reserve*share, retries
}

// until returns the time until the buckets that leave the window free the given number of retries, at
// most the length of the window.
func (w *window) until(now, started time.Time, b Budget, missing float64) time.Duration {
	if missing <= 0 {
		return 0
	}
	length := b.Window / windowBuckets
	wait := started.Add(time.Duration(w.bucket+1) * length).Sub(now)
	for n := range int64(windowBuckets) {
		oldest := (w.bucket + 1 + n) % windowBuckets
		missing -= w.retries[oldest] - usableShare*b.Share*w.earned[oldest]
		if missing <= 0 {
			return wait
		}
		wait += length
	}
	return b.Window
}

// needed returns the retries that must be left now to pay for the given number of them per second over the
// next window, as the buckets that leave it free those that they hold.
func (w *window) needed(b Budget, perSecond float64) float64 {
	perBucket := perSecond * b.Window.Seconds() / windowBuckets
	sum, most := 0.0, 0.0
	for n := range int64(windowBuckets) {
		sum += perBucket
		most = max(most, sum)
		sum -= w.retries[(w.bucket+1+n)%windowBuckets]
	}
	return most
}
