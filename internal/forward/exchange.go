// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"errors"
	"sync"

	"ploverjunction.example/ploverjunction/internal/memory"
	"ploverjunction.example/ploverjunction/internal/response"
)

// exchange is the use of one connection by one attempt: its request, and the answer that is read.
type exchange struct {
	claim *claim
	mu    sync.Mutex
	scan  response.Scan
	// begun is set once a part of the request is passed to the kernel.
	begun bool
	// failed is the error after which nothing is read, or nil: net/http drops an error in the middle of a line, and reads on.
	failed error
}

func newExchange(c *claim, method string) *exchange {
	return &exchange{
		claim: c,
		scan:  response.ForMethod(method),
	}
}

// begin reports that a part of the request is passed to the kernel.
func (x *exchange) begin() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.begun = true
}

// read scans what was read from the connection and reserves memory for the heads of the answer. It returns an error if nothing
// may be read further.
func (x *exchange) read(b *memory.Budget, p []byte) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.failed == nil && len(p) > 0 {
		x.failed = x.check(b, p)
	}
	return x.failed
}

func (x *exchange) check(b *memory.Budget, p []byte) error {
	if !x.begun || x.scan.Whole() {
		// net/http could take it for the answer to this request, or to the next one.
		return response.ErrSurplus
	}
	inHeads := !x.scan.Final()
	if err := x.scan.Add(p); err != nil {
		x.claim.fail(KindMalformed)
		return err
	}
	kind := Kind("")
	switch {
	case !inHeads:
	case x.scan.Interims() > maxInterims:
		kind = KindEndless
	case !x.claim.holdHeads(b, x.scan.Cost()):
		kind = KindMemory
	}
	if kind == "" {
		return nil
	}
	x.claim.fail(kind)
	return &Error{
		kind: kind,
	}
}

// surplus reports whether bytes were read that belong to no answer.
func (x *exchange) surplus() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.scan.Surplus() || errors.Is(x.failed, response.ErrSurplus)
}

// untilClose reports whether the body of the answer ends with the connection.
func (x *exchange) untilClose() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.scan.UntilClose()
}
