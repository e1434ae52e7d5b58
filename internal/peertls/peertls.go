// Package peertls builds the TLS configuration with which the project's own processes authenticate each other.
//
// Both sides present a certificate that is signed by the same private authority. Hosts can be replaced at any time and
// are addressed by IP address, so a certificate names the fleet and not the host.
package peertls

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/juju/errors"
)

// ServerName is the DNS name in the certificate of every process of the fleet.
const ServerName = "sycamoredeal.internal"

// Files holds the paths of PEM files. All are empty for plain TCP.
type Files struct {
	Cert string // certificate of this process
	Key  string // private key of the certificate
	CA   string // certificates of the authority that signs those of all processes
}

// Load returns a configuration for both the client and the server of a connection, or nil if no files are given. Both
// sides require a valid certificate of the other.
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
		return nil, errors.Errorf("%s contains no certificate", f.CA)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, ServerName: ServerName,
	}, nil
}
