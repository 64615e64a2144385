// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"os"
	"strings"

	"ploverjunction.example/ploverjunction/internal/fleetconfig"
)

// keyCommand prints the digests of keys. It reads them from standard input because other
// users can read arguments in the process list.
type keyCommand struct{}

// Run prints the digest of each line.
func (*keyCommand) Run(out *output) error {
	digests := []string{}
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		key := strings.TrimSpace(lines.Text())
		if key == "" {
			continue
		}
		d := fleetconfig.DigestKey(key)
		digests = append(digests, base64.StdEncoding.EncodeToString(d[:]))
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("ploverctl: read keys: %w", err)
	}
	return out.print(digests, "%s\n", strings.Join(digests, "\n"))
}
