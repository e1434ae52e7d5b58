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

const certValidity = time.Hour

// IssueCertificate creates a certificate authority, and a key with a certificate signed by it, and writes them as PEM files
// into dir. Processes of fleets with different authorities reject each other's certificates.
func IssueCertificate(dir string) (peertls.Files, error) {
	files := peertls.Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	ca, caKey, caDER, err := createCertificate(1, nil, nil)
	if err != nil {
		return files, err
	}
	_, key, der, err := createCertificate(2, ca, caKey)
	if err != nil {
		return files, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return files, errors.Trace(err)
	}
	for _, p := range []struct {
		path, blockType string
		der             []byte
	}{{files.CA, "CERTIFICATE", caDER}, {files.Cert, "CERTIFICATE", der}, {files.Key, "EC PRIVATE KEY", keyDER}} {
		if err := os.WriteFile(p.path, pem.EncodeToMemory(&pem.Block{Type: p.blockType, Bytes: p.der}), 0o600); err != nil {
			return files, errors.Trace(err)
		}
	}
	return files, nil
}

// createCertificate creates a key and a certificate for it. The parent signs the certificate; without a parent it is the
// self-signed certificate of an authority.
func createCertificate(serial int64, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey, []byte, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, nil, errors.Trace(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "sycamoredeal test"}, DNSNames: []string{peertls.ServerName},
		NotBefore: time.Now().Add(-certValidity), NotAfter: time.Now().Add(certValidity), BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if parent == nil {
		template.IsCA, template.KeyUsage = true, x509.KeyUsageCertSign
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	return template, key, der, errors.Trace(err)
}
