// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"slices"
	"sync"
	"time"
)

// maxRefusals bounds the refusals that a connection remembers. It is used no longer once it has more of them whose
// requests may come back.
const maxRefusals = 32

// refusals are the requests that a target has refused on one connection. A late copy of such a refusal carries the
// ID of its request, and would prove that a later attempt did not run. It may be used concurrently.
type refusals struct {
	mu   sync.Mutex
	list []refusal
}

// refusal is the hash of a request's ID, and the deadline after which the request is sent no more.
type refusal struct {
	id       uint64
	deadline time.Time
}

// add records a refused request, and reports whether there was room for it.
func (r *refusals) add(now time.Time, id uint64, deadline time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = slices.DeleteFunc(r.list, func(f refusal) bool { return !now.Before(f.deadline) })
	if len(r.list) >= maxRefusals {
		return false
	}
	r.list = append(r.list, refusal{
		id:       id,
		deadline: deadline,
	})
	return true
}

// has reports whether a request was refused.
func (r *refusals) has(id uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.list, func(f refusal) bool { return f.id == id })
}
