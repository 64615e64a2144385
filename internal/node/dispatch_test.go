// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"context"
	"errors"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"ploverjunction.example/ploverjunction/internal/attempt"
	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/entry"
	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/outlier"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// The target of the ongoing attempt must be named last, after those that the node cannot reach: the
// dispatcher decides by that target's failure to answer whether to grant a hedge.
func TestTriedTargetIsNamedLast(t *testing.T) {
	const unreachable, tried = "192.0.2.10:80", "192.0.2.11:80"
	c := node.NewChooser("quotes", []*wire.Entry{
		{
			Key:      "services",
			Revision: 1,
			Value: []byte(`{"services":[{"name":"quotes"}],"targets":[
				{"service":"quotes","address":"192.0.2.10:80","dataHall":"a","slots":3,"connections":200},
				{"service":"quotes","address":"192.0.2.11:80","dataHall":"a","slots":3,"connections":200}]}`),
		},
	})
	if got, want := c.Excluded(unreachable, tried), []string{unreachable, tried}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// A failure of the dispatcher's own node must count once: the failure probability is that of a
// scheduler which received it once.
func TestOwnFailureCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const key = "192.0.2.10:80"
		c := node.NewChooser("quotes", []*wire.Entry{
			{
				Key:      "services",
				Revision: 1,
				Value:    []byte(`{"services":[{"name":"quotes"}],"targets":[{"service":"quotes","address":"192.0.2.10:80","dataHall":"a","slots":3,"connections":200}]}`),
			},
		})
		const took = 200 * time.Millisecond
		choice, err := c.Choose(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		d := dispatch.NewScheduler(time.Now(), dispatch.Budget{
			Window: 10 * time.Second,
		}, func() float64 { return 0 })
		d.Configure(time.Now(), []dispatch.Target{
			{
				Key:      key,
				DataHall: "a",
				Slots:    3,
			},
		})
		g := d.RequestGrant(time.Now(), &dispatch.Request{
			Deadline: time.Now().Add(time.Second),
		})
		time.Sleep(took)
		choice.Done(outlier.Result{
			Failed: true,
		}, took)
		d.Done(time.Now(), g.ID, key, dispatch.ResultBad, took)
		if got, want := c.FailureProbability(key), d.Status(time.Now()).Targets[0].FailureProbability; got != want {
			t.Errorf("failure probability %.3f after one failure, want %.3f", got, want)
		}
	})
}

// A request refused for an exhausted retry budget is told when its caller may return. The answer became an
// error without a time, and callers returned after 250 ms whatever the budget.
func TestExhaustedRetryBudgetNamesATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := node.NewChooser("quotes", []*wire.Entry{
			{
				Key:      "services",
				Revision: 1,
				Value:    []byte(`{"services":[{"name":"quotes"}],"targets":[{"service":"quotes","address":"192.0.2.10:80","dataHall":"a","slots":3,"connections":200}]}`),
			},
		})
		for range 50 {
			choice, err := c.ChooseRetry(context.Background())
			var none *entry.NoTargetError
			if errors.As(err, &none) {
				if none.Reason() != attempt.ReasonBudget || none.RetryAfter() <= 0 {
					t.Errorf("%v, RetryAfter is %v", none, none.RetryAfter())
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			choice.Done(outlier.Result{}, time.Millisecond)
		}
		t.Fatal("the retry budget is not exhausted")
	})
}

// The floor of a service's policy, in slots, is converted to a share of its targets for the joint
// choice.
func TestFloorOfPolicyIsAShare(t *testing.T) {
	tests := []struct {
		name   string
		policy string
		want   float64
	}{
		{
			name:   "default",
			policy: `{}`,
			want:   0.5,
		},
		{
			name:   "share",
			policy: `{"floor":"0.9 * capacity"}`,
			want:   0.9,
		},
		{
			name:   "all but one target",
			policy: `{"floor":"capacity * double(targets - 1) / double(targets)"}`,
			want:   0.5,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := node.NewChooser("quotes", []*wire.Entry{
				{
					Key:      "services",
					Revision: 1,
					Value: []byte(`{"services":[{"name":"quotes","policy":` + tt.policy + `}],"targets":[
						{"service":"quotes","address":"192.0.2.10:80","dataHall":"a","slots":3,"connections":200},
						{"service":"quotes","address":"192.0.2.11:80","dataHall":"a","slots":3,"connections":200}]}`),
				},
			})
			if got := c.Floor(); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against times that wrap in a message: a negative RetryAfter was sent as 49 days.
func TestTimesOnTheWireAreBounded(t *testing.T) {
	tests := []struct {
		time time.Duration
		want uint32
	}{
		{-time.Millisecond, 0},
		{250 * time.Millisecond, 250},
		{100 * 24 * time.Hour, math.MaxUint32},
	}
	for _, tt := range tests {
		g := node.WireGrant(dispatch.Grant{
			RetryAfter: tt.time,
			HedgeAfter: tt.time,
		})
		if g.GetRetryAfterMs() != tt.want || g.GetHedgeAfterMs() != tt.want {
			t.Errorf("%v: %d and %d ms, want %d", tt.time, g.GetRetryAfterMs(), g.GetHedgeAfterMs(), tt.want)
		}
	}
}
