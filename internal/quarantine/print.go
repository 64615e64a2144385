// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// fingerprintSize is the size of a Print in bytes: no two requests share one by chance, and
// nobody can make one that has the Print of another.
const fingerprintSize = 16

// PrintBody is how many bytes of a body count for a Print: more than most have, and hashed
// in some ten microseconds.
const PrintBody = 16 << 10

// Print names what a request asks for: two requests with the same Print ask for the same.
type Print [fingerprintSize]byte

// String returns the first half of the Print in hexadecimal digits, enough to find it in
// the logs of a fleet.
func (p Print) String() string { return hex.EncodeToString(p[:fingerprintSize/2]) }

// Prints are those of one request: of what it asks for, whoever asks, and of the same asked
// by its caller. A request that harms for one caller only is known by the second; one that
// harms for all, or whose caller comes by many addresses, by the first.
type Prints struct {
	content Print
	caller  Print
}

// Request is what tells requests apart.
type Request struct {
	Method string
	Host   string
	// URI is the path with the query.
	URI string
	// Caller is the workspace of the caller, or its address where there is none.
	Caller string
	// Body is the body, or the beginning of one of Length bytes. At most PrintBody bytes
	// of it count.
	Body   []byte
	Length int64
}

// NewPrints returns the Prints of a request.
func NewPrints(r Request) Prints {
	h := sha256.New()
	for _, s := range [...]string{r.Method, r.Host, r.URI} {
		writeString(h, s)
	}
	writeInt(h, r.Length)
	h.Write(r.Body[:min(len(r.Body), PrintBody)])
	p := Prints{
		content: truncatedSum(h),
	}
	h.Reset()
	h.Write(p.content[:])
	writeString(h, r.Caller)
	p.caller = truncatedSum(h)
	return p
}

// Content returns the Print of what is asked for, whoever asks.
func (p Prints) Content() Print { return p.content }

// Caller returns the Print of what is asked for by the caller.
func (p Prints) Caller() Print { return p.caller }

// All returns both.
func (p Prints) All() [2]Print { return [...]Print{p.content, p.caller} }

// writeString writes a text that doesn't run into the next one.
func writeString(h hash.Hash, s string) {
	writeInt(h, int64(len(s)))
	h.Write([]byte(s))
}

func writeInt(h hash.Hash, n int64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	h.Write(b[:])
}

func truncatedSum(h hash.Hash) Print {
	var b [sha256.Size]byte
	return Print(h.Sum(b[:0])[:fingerprintSize])
}
