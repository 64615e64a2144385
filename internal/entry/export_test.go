// SPDX-License-Identifier: Apache-2.0

package entry

import "time"

// StartWait returns how long a request waits for the first configuration.
func StartWait(caller time.Duration) time.Duration { return startWait(caller) }
