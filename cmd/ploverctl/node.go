// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// callTimeout bounds one call to a node.
const callTimeout = 5 * time.Second

// nodeError describes a failed call to a node.
type nodeError struct {
	node   string
	status int
	cause  error
}

// Error names the node and the failure.
func (e *nodeError) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("ploverctl: node %s: %v", e.node, e.cause)
	}
	return fmt.Sprintf("ploverctl: node %s: status %d", e.node, e.status)
}

// Unwrap returns the underlying error, or nil.
func (e *nodeError) Unwrap() error { return e.cause }

// call sends a request to the operators' listener of a node and decodes its JSON
// answer into v, unless v is nil.
func call(node, method, path string, query url.Values, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	u := url.URL{
		Scheme:   "http",
		Host:     node,
		Path:     path,
		RawQuery: query.Encode(),
	}
	fault := func(code int, err error) error {
		return &nodeError{
			node:   node,
			status: code,
			cause:  err,
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), nil)
	if err != nil {
		return fault(0, err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fault(0, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return fault(0, err)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return fault(res.StatusCode, nil)
	}
	if v == nil {
		return nil
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fault(0, err)
	}
	return nil
}
