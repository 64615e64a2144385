// SPDX-License-Identifier: Apache-2.0

// Package rawanswer has targets of tests send answers byte by byte, among them malformed and broken ones, and reads what
// callers get of them.
package rawanswer

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// End is what a target does with its connection after an answer.
type End uint8

// Ends of connections.
const (
	// EndKeep reads the next request, EndClose closes the connection, EndReset resets it.
	EndKeep End = iota
	EndClose
	EndReset
	// EndCloseReset sends the orderly end first, and then resets the connection.
	EndCloseReset
)

// Use is whether a caller may get a form as a success.
type Use uint8

// Uses of forms.
const (
	// UseNone is for what is no answer, UseMay for what may be passed on, UseMust for answers in order.
	UseNone Use = iota
	UseMay
	UseMust
)

// Form is a way to answer requests.
type Form struct {
	// Name is unique and consists of letters, digits and dashes.
	Name string
	// Method is that of the requests.
	Method string
	// Upload is the size of the requests' bodies in bytes, of which Read are read before the answer; all if Read is 0.
	Upload int
	Read   int
	// Text is what is sent. Its "{id}" stands for the lines that the contract between targets and nodes asks for.
	Text string
	// Pause is the time between the text and the end of the connection.
	Pause time.Duration
	End   End
	Use   Use
	// Status and Body are those of the success that a caller may get.
	Status int
	Body   string
}

// Answer answers a request. It reports whether the connection may carry another one.
func (f *Form) Answer(c *net.TCPConn, r *http.Request, id string) bool {
	if f.Read > 0 {
		_, _ = io.CopyN(io.Discard, r.Body, int64(f.Read))
	} else {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	_, _ = io.WriteString(c, strings.ReplaceAll(f.Text, "{id}", id))
	time.Sleep(f.Pause)
	if f.End == EndCloseReset {
		_ = c.CloseWrite()
	}
	if f.End >= EndReset {
		_ = c.SetLinger(0)
	}
	return f.End == EndKeep
}
