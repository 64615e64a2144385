// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"encoding/binary"
	"sync/atomic"
	"time"
)

// Bounds of Answers.
const (
	// answerSlots is the number of slots, of 8 bytes each. At 210 requests a second, with two
	// fingerprints each, seven in ten are kept for AnswerRetention; the others are overwritten by
	// later ones.
	answerSlots = 1 << 14
	// AnswerRetention is how long an answer counts in favor of a request.
	AnswerRetention = 30 * time.Second
	// answerTick is the unit in which the age of an answer is kept.
	answerTick = time.Second
	// tickBits is how many bits of a slot hold the tick.
	tickBits = 24
)

// Answers keeps the requests that targets answered recently: a popular request is often in flight
// when a target crashes, without being the cause. A later answer may overwrite an earlier one
// of another request. Answers may be used concurrently.
type Answers struct {
	started time.Time
	slots   [answerSlots]atomic.Uint64
}

// NewAnswers returns empty Answers.
func NewAnswers(now time.Time) *Answers {
	return &Answers{
		started: now,
	}
}

// Record records that a request was answered.
func (a *Answers) Record(now time.Time, prints Fingerprints) {
	for _, p := range prints.All() {
		slot, tag := a.slot(p)
		slot.Store(tag<<tickBits | a.tick(now))
	}
}

// Recent reports whether a request with a fingerprint was answered within AnswerRetention.
func (a *Answers) Recent(now time.Time, p Fingerprint) bool {
	slot, tag := a.slot(p)
	v := slot.Load()
	if v>>tickBits != tag {
		return false
	}
	const mask = 1<<tickBits - 1
	return (a.tick(now)-v)&mask <= uint64(AnswerRetention/answerTick)
}

// slot returns the slot of a fingerprint and the tag that distinguishes it from others in the slot.
func (a *Answers) slot(p Fingerprint) (*atomic.Uint64, uint64) {
	n := binary.BigEndian.Uint64(p[:])
	return &a.slots[n%answerSlots], n >> tickBits
}

// tick returns the time since the start in units of answerTick, from 1 on.
func (a *Answers) tick(now time.Time) uint64 {
	const mask = 1<<tickBits - 1
	return uint64(now.Sub(a.started)/answerTick+1) & mask
}
