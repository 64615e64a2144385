// SPDX-License-Identifier: Apache-2.0

package response_test

import (
	"crypto/tls"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"ploverjunction.example/ploverjunction/internal/response"
)

// Guards against connections that scan the records of TLS, none of which is an answer.
func TestConnScansBeneathTLS(t *testing.T) {
	srv := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "abc") }))
	t.Cleanup(srv.Close)
	overTLS := &tls.Dialer{
		Config: srv.Client().Transport.(*http.Transport).TLSClientConfig,
	}
	transport := &http.Transport{
		DialTLSContext: response.Dial(overTLS.DialContext, bounds),
	}
	t.Cleanup(transport.CloseIdleConnections)
	for range 2 {
		if body, err := get(t.Context(), &http.Client{
			Transport: transport,
		}, srv.URL); err != nil || body != "abc" {
			t.Errorf("%q, %v", body, err)
		}
	}
	// The certificate of the server is signed by itself.
	var untrusted *tls.CertificateVerificationError
	if _, err := get(t.Context(), &http.Client{
		Transport: response.NewTransport(bounds),
	}, srv.URL); !errors.As(err, &untrusted) {
		t.Errorf("%v, want an error of the certificate", err)
	}
}
