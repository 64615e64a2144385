// SPDX-License-Identifier: Apache-2.0

package entry

import "time"

// StartWait returns how long a request waits for the first configuration.
func StartWait(caller time.Duration) time.Duration { return startWait(caller) }

// OpenConnections returns the number of callers' connections that were accepted and are open.
func (s *Server) OpenConnections() int { return s.inbound.Open() }
