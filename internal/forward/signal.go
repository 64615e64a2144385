// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"errors"
	"net/http"

	"ploverjunction.example/ploverjunction/internal/contract"
	"ploverjunction.example/ploverjunction/internal/signal"
)

// observe passes on the signal in a target's answer. The answer of another process at its address
// carries no signal of it; an answer to another request does.
func (c *Client) observe(r *Request, res *http.Response) {
	if r.Observe == nil || c.contract.Refused(res.StatusCode, res.Header) == contract.RefusalOtherTarget {
		return
	}
	r.Observe(SignalOf(c.contract, res))
}

// SignalOf returns the signal in a target's answer, and the error of a part that cannot be read.
func SignalOf(c *contract.Contract, res *http.Response) (signal.Signal, error) {
	backoff, backoffErr := c.Backoff(res.StatusCode, res.Header)
	rate, named, limitErr := c.Limit(res.Header)
	load, loadErr := c.Load(res.Header)
	return signal.Signal{
		Draining: c.Draining(res.Header),
		Backoff:  backoff,
		Limit: signal.Limit{
			Rate: rate,
			Set:  named && limitErr == nil,
		},
		LimitUnreadable: limitErr != nil,
		Load:            load,
		LoadUnreadable:  loadErr != nil,
	}, errors.Join(backoffErr, limitErr, loadErr)
}
