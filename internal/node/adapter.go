// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"time"

	"ploverjunction.example/ploverjunction/internal/contract"
	"ploverjunction.example/ploverjunction/internal/source"
)

// Adapter is what another platform than the project's own brings.
type Adapter struct {
	// Contract names the headers between callers, the fleet and targets.
	Contract *contract.Contract
	// Read reads published values, and goes on reading, until the context ends;
	// nil leaves it to the source that the settings name.
	Read func(ctx context.Context, cfg source.Config) error
	// Silent is after how long without an answer of the platform to any node any node
	// may read it. 0 means the time that fits the project's own platform, and a
	// reader in each data hall; else two nodes read for the fleet.
	Silent time.Duration
	// Calls returns how many calls were made on the platform.
	Calls func() int64
}
