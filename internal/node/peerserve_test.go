// SPDX-License-Identifier: Apache-2.0

package node_test

import (
	"errors"
	"io"
	"testing"

	"ploverjunction.example/ploverjunction/internal/node"
	"ploverjunction.example/ploverjunction/internal/wire"
)

// bodyStream delivers the parts of a body, then the end of the stream.
type bodyStream struct {
	wire.DRPCPeer_ForwardStream
	parts []*wire.ForwardRequest
}

func (s *bodyStream) Recv() (*wire.ForwardRequest, error) {
	if len(s.parts) == 0 {
		return nil, io.EOF
	}
	part := s.parts[0]
	s.parts = s.parts[1:]
	return part, nil
}

// Guards against the end of an exchange that is taken for the end of the body: the node ends it when it has the
// whole answer, which a target may send before it has read the body.
func TestEndOfStreamIsNoEndOfBody(t *testing.T) {
	tests := []struct {
		name  string
		parts []*wire.ForwardRequest
		want  error
	}{
		{
			name: "end",
			parts: []*wire.ForwardRequest{
				{
					Body: []byte("bo"),
				},
				{
					Body: []byte("dy"),
					End:  true,
				},
			},
		},
		{
			name: "no end",
			parts: []*wire.ForwardRequest{
				{
					Body: []byte("body"),
				},
			},
			want: io.ErrUnexpectedEOF,
		},
		{
			name: "nothing",
			want: io.ErrUnexpectedEOF,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := io.ReadAll(node.BodyOfPeer(&bodyStream{
				parts: tt.parts,
			}))
			if !errors.Is(err, tt.want) || len(tt.parts) > 0 && string(got) != "body" {
				t.Errorf("body %q, error %v, want %v", got, err, tt.want)
			}
		})
	}
}
