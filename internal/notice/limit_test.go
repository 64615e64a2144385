// SPDX-License-Identifier: Apache-2.0

package notice_test

import (
	"testing"
	"time"

	"ploverjunction.example/ploverjunction/internal/notice"
)

func limitOf(rate float64) notice.Notice {
	return notice.Notice{
		Limit: notice.Limit{
			Rate: rate,
			Set:  true,
		},
	}
}

// A limit holds until a later answer names another one or none. One that can't be read changes
// nothing, and is told once.
func TestLimitHoldsUntilTheNextAnswer(t *testing.T) {
	steps := []struct {
		name    string
		notice  notice.Notice
		changed bool
		want    notice.Limit
	}{
		{
			name: "none",
		},
		{
			name:    "named",
			notice:  limitOf(1.6),
			changed: true,
			want:    limitOf(1.6).Limit,
		},
		{
			name:   "named again",
			notice: limitOf(1.6),
			want:   limitOf(1.6).Limit,
		},
		{
			name: "unreadable",
			notice: notice.Notice{
				LimitUnread: true,
			},
			changed: true,
			want:    limitOf(1.6).Limit,
		},
		{
			name: "unreadable again",
			notice: notice.Notice{
				LimitUnread: true,
			},
			want: limitOf(1.6).Limit,
		},
		{
			name:    "nothing accepted",
			notice:  limitOf(0),
			changed: true,
			want:    limitOf(0).Limit,
		},
		{
			name:    "lifted",
			changed: true,
		},
	}
	var l notice.Ledger
	target := born(0)
	for i, s := range steps {
		now := start.Add(time.Duration(i) * time.Second)
		if changed := l.Hear(now, target, s.notice); changed != s.changed {
			t.Errorf("%s: changed %v", s.name, changed)
		}
		if got := l.Standing(now, target); got.Limit != s.want || got.Barred() {
			t.Errorf("%s: %+v", s.name, got)
		}
	}
}

// A limit is of one incarnation: the next one has none until it names its own.
func TestLimitIsOfOneIncarnation(t *testing.T) {
	var l notice.Ledger
	l.Hear(start, born(0), limitOf(1.6))
	if got := l.Standing(start, born(time.Minute)).Limit; got.Set {
		t.Errorf("the next incarnation has the limit %+v", got)
	}
}
