// SPDX-License-Identifier: Apache-2.0

package node

import (
	"fmt"

	"ploverjunction.example/ploverjunction/internal/link"
	"ploverjunction.example/ploverjunction/internal/settings"
)

func loadKeys(set *settings.Settings) (*link.Keys, error) {
	cert, key, authority := set.PeerTLS()
	if cert == "" {
		return nil, nil
	}
	keys, err := link.LoadKeys(cert, key, authority)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	return keys, nil
}
