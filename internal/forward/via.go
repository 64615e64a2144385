// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"errors"
	"net/http"
	"strconv"

	"ploverjunction.example/ploverjunction/internal/response"
)

// sendVia sends a request by way of a peer and returns the response, whose head is checked: the peer may be of another
// version.
func (c *Client) sendVia(cl *claim, r *Request, req *http.Request) (*http.Response, error) {
	res, err := r.Via(req)
	if err != nil {
		return nil, err
	}
	kind := Kind("")
	cause := checkPeerHead(res)
	switch {
	case cause != nil:
		kind = KindMalformed
	case !cl.holdHeader(c.heads, res.Header):
		kind = KindMemory
	default:
		return res, nil
	}
	// The peer has made the attempt.
	return nil, &ViaError{
		Accepted: true,
		Cause: errors.Join(&Error{
			kind:  kind,
			cause: cause,
		}, res.Body.Close()),
	}
}

// errPeerLength is the failure of a peer's answer whose fields give another length than its head.
var errPeerLength = errors.New("forward: the answer of a peer has several lengths")

// checkPeerHead checks the head of a peer's answer.
func checkPeerHead(res *http.Response) error {
	if err := response.Check(res.StatusCode, res.Header); err != nil {
		return err
	}
	lengths := res.Header["Content-Length"]
	if res.ContentLength < -1 || len(lengths) > 1 {
		return errPeerLength
	}
	for _, text := range lengths {
		if n, err := strconv.ParseUint(text, 10, 63); err != nil || int64(n) != res.ContentLength {
			return errPeerLength
		}
	}
	return nil
}
