// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"ploverjunction.example/ploverjunction/internal/attempt"
)

// refusal is the body of a final answer that no target gave.
type refusal struct {
	Code    Code   `json:"code"`
	Outcome string `json:"outcome"`
	Request string `json:"request"`
}

// refuse logs and answers a request that was refused before any attempt.
func (s *Server) refuse(w http.ResponseWriter, id string, in *admission, e *Error) {
	l := s.log.WithFields(logrus.Fields{
		"request": id,
		"status":  e.status,
		"code":    string(e.code),
	})
	if in != nil {
		l = l.WithFields(logrus.Fields{
			"route":    in.route.Name(),
			"revision": in.config.Position().Revision(),
		})
		if in.workspace != "" {
			l = l.WithField("workspace", in.workspace)
		}
	}
	if e.retryAfter > 0 {
		l = l.WithField("retry_after_ms", e.retryAfter.Milliseconds())
	}
	var limitErr *LimitError
	if errors.As(e, &limitErr) {
		l = l.WithFields(logrus.Fields{
			"by":     limitErr.By,
			"limit":  limitErr.Rate,
			"kept":   math.Round(10*limitErr.Withheld) / 10,
			"tokens": math.Round(10*limitErr.TokensLeft) / 10,
			"age_ms": limitErr.Age.Milliseconds(),
		})
	}
	var stopping *StoppingError
	if errors.As(e, &stopping) {
		l = l.WithFields(logrus.Fields{
			"stopping": true,
			"left_ms":  stopping.Left.Milliseconds(),
		})
		if stopping.Bound {
			l = l.WithField("longest_ms", stopping.Needed.Milliseconds())
		} else {
			l = l.WithField("usual_ms", stopping.Needed.Milliseconds())
		}
	}
	var quarantined *QuarantineError
	if errors.As(e, &quarantined) {
		l = l.WithFields(logrus.Fields{
			"fingerprint": quarantined.status.Fingerprint.String(),
			"ends":        quarantined.status.Crashes,
			"age_ms":      time.Since(quarantined.status.Last).Milliseconds(),
		})
	}
	l.WithError(e).Warn("request refused")
	s.answer(w, id, e)
}

// answer writes a final answer that no target gave.
func (s *Server) answer(w http.ResponseWriter, id string, e *Error) {
	if p, ok := w.(PeerWriter); ok {
		p.Refuse(&PeerRefusal{
			Code:       e.code,
			Status:     e.status,
			Outcome:    e.outcome,
			RetryAfter: e.retryAfter,
		}, s.unableFor(p, e))
		return
	}
	s.limitWrite(w)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if s.closing.Load() {
		h.Set("Connection", "close")
	}
	s.setOutcome(h, id, e.outcome)
	if e.retryAfter > 0 {
		h.Set("Retry-After", s.cfg.Contract.RetryAfter(e.retryAfter))
	}
	body, err := json.Marshal(refusal{
		Code:    e.code,
		Outcome: e.outcome.String(),
		Request: id,
	})
	if err != nil {
		panic("entry: encode refusal: " + err.Error())
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.status)
	// An error means that the caller is gone and needs no answer.
	_, _ = w.Write(body)
}

// setOutcome writes the request ID and outcome into the header of an answer.
func (s *Server) setOutcome(h http.Header, id string, o attempt.Outcome) {
	c := s.cfg.Contract
	if c.Outcome != "" {
		h.Set(c.Outcome, o.String())
	}
	if id != "" {
		h.Set(c.RequestID, id)
	}
}
