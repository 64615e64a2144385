// SPDX-License-Identifier: Apache-2.0

package node

import (
	"context"
	"time"

	"ploverjunction.example/ploverjunction/internal/contract"
	"ploverjunction.example/ploverjunction/internal/source"
)

// Adapter connects a node to a platform other than the project's own.
type Adapter struct {
	// Contract names the headers between callers, the fleet and targets.
	Contract *contract.Contract
	// Read reads published values, and watches them, until the context ends; nil leaves it to the
	// source in the settings.
	Read func(ctx context.Context, cfg source.Config) error
	// PlatformTimeout is the time without an answer of the platform to any node after which any node may
	// read it. 0 means the default of the project's own platform, with a reader in each data hall;
	// otherwise two nodes read for the fleet.
	PlatformTimeout time.Duration
	// Grace is after how long the platform kills a process once a planned stop began, where the settings
	// name no time; 0 means that it does not.
	Grace time.Duration
	// Calls returns the number of calls made to the platform.
	Calls func() int64
}
