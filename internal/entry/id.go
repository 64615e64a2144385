// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"encoding/hex"
	"math/rand/v2"
)

// newRequestID returns 128 random bits in hexadecimal. They identify a request and are not secret.
func newRequestID() string {
	var b [requestIDLength]byte
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return hex.EncodeToString(b[:])
}
