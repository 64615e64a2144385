// SPDX-License-Identifier: Apache-2.0

// Package quarantine knows requests by what they ask for, so that one that comes again is
// recognised whatever its name is and wherever it comes in.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// printSize is the size of a Print in bytes: no two requests share one by chance, and
// nobody can make one that has the Print of another.
const printSize = 16

// Print names what a request asks for: two requests with the same Print ask for the same.
type Print [printSize]byte

// String returns the first half of the Print in hexadecimal digits, enough to find it in
// the logs of a fleet.
func (p Print) String() string { return hex.EncodeToString(p[:printSize/2]) }

// Request is what tells requests apart.
type Request struct {
	Method string
	Host   string
	// URI is the path with the query.
	URI string
	// Caller is the workspace of the caller or its address, "" for whoever asks.
	Caller string
	// Body is the body, or the beginning of one of Length bytes.
	Body   []byte
	Length int64
}

// NewPrint returns the Print of a request.
func NewPrint(r Request) Print {
	h := sha256.New()
	for _, s := range [...]string{r.Method, r.Host, r.URI, r.Caller} {
		number(h, int64(len(s)))
		h.Write([]byte(s))
	}
	number(h, r.Length)
	h.Write(r.Body)
	var sum [sha256.Size]byte
	return Print(h.Sum(sum[:0])[:printSize])
}

// number writes a number that keeps the parts of a request apart.
func number(h hash.Hash, n int64) {
	var b [8]byte
	h.Write(binary.BigEndian.AppendUint64(b[:0], uint64(n)))
}
