// SPDX-License-Identifier: Apache-2.0

package source_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Guards against malformed answers of the platform that are taken for its values.
func TestMalformedAnswersOfThePlatformAreNoAnswers(t *testing.T) {
	const body = `{"revision":"7","values":[{"key":"a","value":"MQ==","revision":"7"}]}`
	sized := func(status, lines string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), lines, body)
	}
	tests := []struct {
		name string
		text string
		good bool
	}{
		{
			name: "answer in order",
			text: sized("200 OK", ""),
			good: true,
		},
		{
			name: "without a length",
			text: "HTTP/1.1 200 OK\r\n\r\n" + body,
			good: true,
		},
		{
			name: "blank in a name",
			text: sized("200 OK", "X Odd: 1\r\n"),
		},
		{
			name: "blank before the colon of the length",
			text: "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\n" + body,
		},
		{
			name: "another version",
			text: "HTTP/9.9 200 OK\r\n\r\n" + body,
		},
		{
			name: "head that stops",
			text: "HTTP/1.1 200 OK\r\nX: y",
		},
		{
			name: "no last chunk",
			text: fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body),
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lis, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = lis.Close() })
			go func() {
				for {
					c, err := lis.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
						_, _ = io.WriteString(c, tt.text)
					}
					_ = c.Close()
				}
			}()
			f := follow(t, "http://"+lis.Addr().String())
			f.until(t, func() bool { return f.failed > 0 || f.entries["a"] != nil })
			f.mu.Lock()
			defer f.mu.Unlock()
			if good := f.entries["a"] != nil; good != tt.good {
				t.Errorf("delivered %v, %d failures, want delivered %v", good, f.failed, tt.good)
			}
		})
	}
}
