// SPDX-License-Identifier: Apache-2.0

package dissemination_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"ploverjunction.example/ploverjunction/internal/wire"
)

// manyRoutes returns a published value of about 400 KB.
func manyRoutes() []byte {
	var b strings.Builder
	b.WriteString(`{"services":[{"name":"s"}],"routes":[`)
	for i := range 3000 {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"name":"route-%d","host":"h%d.example","pathPrefix":"/p%d/","service":"s","repeatable":true,"deadline":"2.500s"}`, i, i%7, i)
	}
	b.WriteString("]}")
	return []byte(b.String())
}

func TestLargeValuesAreSentCompressed(t *testing.T) {
	value := manyRoutes()
	from, to := newReplica(), newReplica()
	from.Offer([]*wire.Entry{
		{
			Key:      "config",
			Revision: 7,
			Value:    value,
		},
	})
	sent := from.Entries([]string{"config"})
	if len(sent) != 1 || len(sent[0].GetValue()) != 0 || len(sent[0].GetPacked()) > len(value)/8 {
		t.Fatalf("%d entries, %d bytes compressed of %d", len(sent), len(sent[0].GetPacked()), len(value))
	}
	if fresh := to.Offer(sent); len(fresh) != 1 {
		t.Fatalf("%d new values, want 1", len(fresh))
	}
	if got := to.Newest("config"); !bytes.Equal(got.GetValue(), value) {
		t.Error("the received value differs from the sent one")
	}
	reported := 0
	to.ReportUnreadable(func(error) { reported++ })
	broken := &wire.Entry{
		Key:      "config",
		Revision: 8,
		Packed:   []byte("no DEFLATE"),
	}
	if fresh := to.Offer([]*wire.Entry{broken}); len(fresh) != 0 || to.Broken() != 1 || reported != 1 {
		t.Errorf("%d new values of a corrupt one, %d counted as corrupt, %d reported, want 0, 1 and 1", len(fresh), to.Broken(), reported)
	}
}
