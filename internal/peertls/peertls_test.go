package peertls_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sycamoredeal/internal/peertls"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// issue writes an authority's certificate, and a certificate and key signed by it, into a new folder.
func issue(t *testing.T) peertls.Files {
	t.Helper()
	dir := t.TempDir()
	f := peertls.Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authority: filepath.Join(dir, "ca.pem")}
	template := func(serial int64) *x509.Certificate {
		return &x509.Certificate{
			SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Now().Add(-time.Hour),
			NotAfter: time.Now().Add(time.Hour), BasicConstraintsValid: true, DNSNames: []string{peertls.ServerName},
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		}
	}
	ca := authority{cert: template(1)}
	ca.cert.IsCA, ca.cert.KeyUsage = true, x509.KeyUsageCertSign
	ca.key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	der, err := x509.CreateCertificate(rand.Reader, ca.cert, ca.cert, &ca.key.PublicKey, ca.key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, f.Authority, "CERTIFICATE", der)
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	der, err = x509.CreateCertificate(rand.Reader, template(2), ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, f.Cert, "CERTIFICATE", der)
	der, _ = x509.MarshalECPrivateKey(key)
	writePEM(t, f.Key, "EC PRIVATE KEY", der)
	return f
}

func serve(ctx context.Context, t *testing.T, f peertls.Files) *transport.Server {
	t.Helper()
	cfg, err := f.Load()
	if err != nil {
		t.Fatal(err)
	}
	srv, err := transport.Listen(ctx, "127.0.0.1:0", transport.Options{
		Hello: wire.Hello{Host: "server"}, TLS: cfg,
		Handler: func(c *transport.Conn, corr uint64, _ wire.Message) { c.Reply(corr, &wire.Ack{}) },
	})
	if err != nil {
		t.Fatal(err)
	}
	return srv
}

// call connects, sends one request and tells whether it was answered within the limit.
func call(ctx context.Context, t *testing.T, addr string, f peertls.Files, limit time.Duration) bool {
	t.Helper()
	cfg, err := f.Load()
	if err != nil {
		t.Fatal(err)
	}
	c := transport.Dial(ctx, addr, transport.Options{Hello: wire.Hello{Host: "client"}, TLS: cfg, Handler: func(*transport.Conn, uint64, wire.Message) {}})
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := c.Call(ctx, &wire.HeadRequest{}); err == nil {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// Guards against processes that accept messages from outside the fleet.
func TestStrangersAreRefused(t *testing.T) {
	Convey("A server with mutual TLS", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		own, foreign := issue(t), issue(t)
		srv := serve(ctx, t, own)
		So(call(ctx, t, srv.Addr(), own, 2*time.Second), ShouldBeTrue)
		So(call(ctx, t, srv.Addr(), foreign, 300*time.Millisecond), ShouldBeFalse)
		So(call(ctx, t, srv.Addr(), peertls.Files{}, 300*time.Millisecond), ShouldBeFalse)
	})
	Convey("Incomplete settings are an error", t, func() {
		_, err := peertls.Files{Cert: "x"}.Load()
		So(err, ShouldNotBeNil)
	})
}
