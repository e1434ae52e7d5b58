// Package peertls makes the TLS configuration by which the project's own processes know each other.
//
// Both sides present a certificate of the same private authority. Hosts are replaced at any time and addressed by IP
// number, so a certificate names the fleet and not the host.
package peertls

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/juju/errors"
)

// ServerName is the DNS name that the certificate of every process of the fleet carries.
const ServerName = "sycamoredeal.internal"

// Files are the paths of PEM files. All are empty for plain TCP.
type Files struct {
	Cert      string
	Key       string
	CA string
}

// Load returns a configuration for both sides of a connection, or nil if no files are given.
func (f Files) Load() (*tls.Config, error) {
	if f == (Files{}) {
		return nil, nil
	}
	if f.Cert == "" || f.Key == "" || f.CA == "" {
		return nil, errors.New("TLS between processes needs a certificate, a key and an authority")
	}
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, errors.Annotate(err, f.Cert)
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.Trace(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s holds no certificate", f.CA)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, ServerName: ServerName,
	}, nil
}
