package testbed

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/peertls"
)

const certLife = time.Hour

// IssueCertificate writes the certificate of a new authority, and a certificate and key signed by it, as PEM files into a
// folder. Fleets with different authorities are strangers to each other.
func IssueCertificate(dir string) (peertls.Files, error) {
	f := peertls.Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	ca, caKey, caDER, err := issue(1, nil, nil)
	if err != nil {
		return f, err
	}
	_, key, der, err := issue(2, ca, caKey)
	if err != nil {
		return f, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return f, errors.Trace(err)
	}
	for _, p := range []struct {
		path, kind string
		der        []byte
	}{{f.CA, "CERTIFICATE", caDER}, {f.Cert, "CERTIFICATE", der}, {f.Key, "EC PRIVATE KEY", keyDER}} {
		if err := os.WriteFile(p.path, pem.EncodeToMemory(&pem.Block{Type: p.kind, Bytes: p.der}), 0o600); err != nil {
			return f, errors.Trace(err)
		}
	}
	return f, nil
}

// issue makes a certificate that the parent signs, or one of an authority if there is no parent.
func issue(serial int64, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey, []byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, nil, errors.Trace(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "sycamoredeal test"}, DNSNames: []string{peertls.ServerName},
		NotBefore: time.Now().Add(-certLife), NotAfter: time.Now().Add(certLife), BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if parent == nil {
		c.IsCA, c.KeyUsage = true, x509.KeyUsageCertSign
		parent, parentKey = c, key
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, parentKey)
	return c, key, der, errors.Trace(err)
}
