// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"context"
	"testing"
	"testing/synctest"

	"ploverjunction.example/ploverjunction/internal/dispatch"
	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// Guards against a grant request that loses its workspace on the way to the scheduler, and against
// weights that schedulers do not get.
func TestGrantRequestNamesWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := node.NewChooser("quotes", []*wire.Entry{
			{
				Key:      "services",
				Revision: 1,
				Value: []byte(`{"services":[{"name":"quotes"}],"workspaces":[{"id":"brokers","weight":3},{"id":"clinics"}],
					"targets":[{"service":"quotes","address":"192.0.2.10:80","dataHall":"a","slots":3,"connections":200}]}`),
			},
		})
		if _, err := c.ChooseForWorkspace(context.Background(), "brokers"); err != nil {
			t.Fatal(err)
		}
		want := dispatch.ShareStatus{
			Greatest:          1,
			GreatestWorkspace: "brokers",
		}
		if got := c.Shares(); got != want {
			t.Errorf("shares %+v, want %+v", got, want)
		}
		if a, b := c.Weight("brokers"), c.Weight("clinics"); a != 3 || b != 1 {
			t.Errorf("weights %g and %g, want 3 and 1", a, b)
		}
	})
}
