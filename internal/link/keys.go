// SPDX-License-Identifier: Apache-2.0

package link

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// Keys are the TLS keys with which the fleet's processes authenticate each other.
type Keys struct {
	config *tls.Config
}

// LoadKeys reads the certificate and key of this process and the authority that signs the
// certificates of all processes of the fleet.
func LoadKeys(cert, key, authority string) (*Keys, error) {
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, keysError(cert, err)
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, keysError(authority, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, keysError(authority, x509.ErrUnsupportedAlgorithm)
	}
	return &Keys{
		config: &tls.Config{
			Certificates: []tls.Certificate{pair},
			RootCAs:      pool,
			ClientCAs:    pool,
			ClientAuth:   tls.RequireAndVerifyClientCert,
			MinVersion:   tls.VersionTLS13,
		},
	}, nil
}

func keysError(file string, err error) *Error {
	return &Error{
		kind:  KindKeys,
		peer:  file,
		cause: err,
	}
}
