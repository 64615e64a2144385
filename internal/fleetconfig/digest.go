// SPDX-License-Identifier: Apache-2.0

package fleetconfig

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ploverjunction.example/ploverjunction/internal/wire"
)

// Buckets is the number of buckets of keys in a store, each with its own digest. The
// digests take 512 bytes; a list of the revisions of 720 targets takes 18 kB.
const Buckets = 64

// bucketOf returns the bucket of a key.
func bucketOf(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

// hashOf returns the hash of an entry's key and version; a digest is the XOR of these hashes.
func hashOf(e *wire.Entry) uint64 {
	m := VersionOf(e)
	b := append([]byte(e.GetKey()), 0)
	for _, n := range []uint64{
		m.Position().Era(),
		m.Position().Revision(),
		m.Stamp().Incarnation(),
		m.Stamp().Sequence(),
		m.WrittenAt().Era(),
		m.WrittenAt().Revision(),
	} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	if m.IsRemoved() {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

// bucket is a subset of the keys, chosen by hash.
type bucket struct {
	digest uint64
	// keys are sorted.
	keys []string
}

// index updates digests, era and history with a key's newest entry; old is nil for a new key.
func (s *Store) index(old, newest *wire.Entry) {
	b := &s.buckets[bucketOf(newest.GetKey())]
	if old != nil {
		b.digest ^= hashOf(old)
	} else {
		at, _ := slices.BinarySearch(b.keys, newest.GetKey())
		b.keys = slices.Insert(b.keys, at, newest.GetKey())
	}
	b.digest ^= hashOf(newest)
	position := VersionOf(newest).Position()
	s.era = max(s.era, position.Era())
	s.history.add(position, newest.GetKey())
}

// Digest returns a hash over the versions of all keys. Stores with equal digests hold
// the same newest values.
func (s *Store) Digest() uint64 {
	sum := uint64(0)
	for i := range s.buckets {
		sum ^= s.buckets[i].digest
	}
	return sum
}

// BucketDigests returns a new slice with the digests of the buckets.
func (s *Store) BucketDigests() []uint64 {
	out := make([]uint64, Buckets)
	for i := range s.buckets {
		out[i] = s.buckets[i].digest
	}
	return out
}

// Differing returns the buckets whose digests are not the given ones, none if the
// number of digests is not Buckets.
func (s *Store) Differing(digests []uint64) []uint32 {
	if len(digests) != Buckets {
		return nil
	}
	var out []uint32
	for i := range s.buckets {
		if digests[i] != s.buckets[i].digest {
			out = append(out, uint32(i))
		}
	}
	return out
}

// RevisionsIn returns the versions of the newest values in some buckets.
func (s *Store) RevisionsIn(buckets []uint32) []*wire.KeyRevision {
	var out []*wire.KeyRevision
	for _, b := range slices.Compact(slices.Sorted(slices.Values(buckets))) {
		out = s.revisions(out, b)
	}
	return out
}

// revisions appends the versions of the newest values in a bucket.
func (s *Store) revisions(out []*wire.KeyRevision, bucket uint32) []*wire.KeyRevision {
	if bucket >= Buckets {
		return out
	}
	for _, k := range s.buckets[bucket].keys {
		out = append(out, KeyRevision(k, s.records[k].newest.version))
	}
	return out
}
