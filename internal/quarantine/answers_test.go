// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/quarantine"
)

// An answer counts for its request for AnswerRetention, and for no other request.
func TestAnswersExpire(t *testing.T) {
	a := quarantine.NewAnswers(start)
	at := start.Add(time.Hour)
	p := fingerprintsOf("/7")
	a.Record(at, p)
	tests := []struct {
		name  string
		print quarantine.Fingerprint
		after time.Duration
		want  bool
	}{
		{
			name:  "at once",
			print: p.Content(),
			want:  true,
		},
		{
			name:  "by the same caller",
			print: p.Caller(),
			want:  true,
		},
		{
			name:  "a while later",
			print: p.Content(),
			after: quarantine.AnswerRetention - time.Second,
			want:  true,
		},
		{
			name:  "too late",
			print: p.Content(),
			after: quarantine.AnswerRetention + 2*time.Second,
		},
		{
			name:  "another request",
			print: fingerprintsOf("/8").Content(),
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := a.Recent(at.Add(tt.after), tt.print); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// At the intended load seven in ten of the answers within AnswerRetention are kept.
func TestAnswersAreRetained(t *testing.T) {
	const perSecond = 210
	a := quarantine.NewAnswers(start)
	n := int(quarantine.AnswerRetention/time.Second) * perSecond
	at := func(i int) time.Time { return start.Add(time.Duration(i) * time.Second / perSecond) }
	for i := range n {
		a.Record(at(i), fingerprintsOf(fmt.Sprint(i)))
	}
	kept := 0
	for i := range n {
		if a.Recent(at(n), fingerprintsOf(fmt.Sprint(i)).Content()) {
			kept++
		}
	}
	if share := float64(kept) / float64(n); share < 0.6 {
		t.Errorf("%.2f of the answers kept, want 0.6 or more", share)
	}
}
