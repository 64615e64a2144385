// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// fingerprintSize is the size of a fingerprint in bytes: large enough that fingerprints neither collide
// by chance nor can be forged.
const fingerprintSize = 16

// FingerprintBody is how many bytes of a body count for a fingerprint: more than most bodies
// have, and hashed in some ten microseconds.
const FingerprintBody = 16 << 10

// Fingerprint is the fingerprint of a request: requests with the same one have the same content.
type Fingerprint [fingerprintSize]byte

// String returns the first half of the fingerprint in hexadecimal digits, enough to find it in
// the logs of a fleet.
func (p Fingerprint) String() string { return hex.EncodeToString(p[:fingerprintSize/2]) }

// Fingerprints are the fingerprints of one request: of its content, and of its content and caller. The
// second one identifies a request that is harmful for one caller only; the first one that is
// harmful for all, or whose caller uses many addresses.
type Fingerprints struct {
	content Fingerprint
	caller  Fingerprint
}

// Request holds what distinguishes requests.
type Request struct {
	Method string
	Host   string
	// URI is the path with the query.
	URI string
	// Caller is the workspace of the caller, or its address without a workspace.
	Caller string
	// Body is the body, or the beginning of one, and Length the length of the whole body. At
	// most FingerprintBody bytes count.
	Body   []byte
	Length int64
}

// NewFingerprints returns the fingerprints of a request.
func NewFingerprints(r Request) Fingerprints {
	h := sha256.New()
	for _, s := range [...]string{r.Method, r.Host, r.URI} {
		writeString(h, s)
	}
	writeInt(h, r.Length)
	h.Write(r.Body[:min(len(r.Body), FingerprintBody)])
	p := Fingerprints{
		content: truncatedSum(h),
	}
	h.Reset()
	h.Write(p.content[:])
	writeString(h, r.Caller)
	p.caller = truncatedSum(h)
	return p
}

// Content returns the fingerprint of the content, for any caller.
func (p Fingerprints) Content() Fingerprint { return p.content }

// Caller returns the fingerprint of the content and the caller.
func (p Fingerprints) Caller() Fingerprint { return p.caller }

// All returns both fingerprints.
func (p Fingerprints) All() [2]Fingerprint { return [...]Fingerprint{p.content, p.caller} }

// writeString writes a string with its length, so that adjacent strings can't be confused.
func writeString(h hash.Hash, s string) {
	writeInt(h, int64(len(s)))
	h.Write([]byte(s))
}

func writeInt(h hash.Hash, n int64) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	h.Write(b[:])
}

func truncatedSum(h hash.Hash) Fingerprint {
	var b [sha256.Size]byte
	return Fingerprint(h.Sum(b[:0])[:fingerprintSize])
}
