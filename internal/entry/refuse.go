// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"ploverjunction.example/ploverjunction/internal/forward"
)

// refusal is the body of a final answer that no target gave.
type refusal struct {
	Code    Code   `json:"code"`
	Outcome string `json:"outcome"`
	Request string `json:"request"`
}

func (s *Server) refuse(w http.ResponseWriter, id string, e *Error) {
	s.log.WithField("request", id).WithError(e).Info("request refused")
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(forward.HeaderOutcome, e.outcome.String())
	if e.retryAfter > 0 {
		seconds := int64(math.Ceil(e.retryAfter.Seconds()))
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	body, err := json.Marshal(refusal{
		Code:    e.code,
		Outcome: e.outcome.String(),
		Request: id,
	})
	if err != nil {
		panic("entry: a refusal is always JSON: " + err.Error())
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.status)
	// A caller that is gone needs no answer.
	_, _ = w.Write(body)
}
