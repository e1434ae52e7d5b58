package peertls_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"sycamoredeal/internal/peertls"
	"sycamoredeal/internal/testbed"
	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

// issueCertificate creates a new authority and a certificate signed by it, and returns their files in a new directory.
func issueCertificate(t *testing.T) peertls.Files {
	t.Helper()
	f, err := testbed.IssueCertificate(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// serve starts a server that acknowledges every request.
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

// isAnswered repeats a request until it is answered or the timeout passes, and reports whether it was answered.
func isAnswered(ctx context.Context, t *testing.T, addr string, f peertls.Files, timeout time.Duration) bool {
	t.Helper()
	cfg, err := f.Load()
	if err != nil {
		t.Fatal(err)
	}
	c := transport.Dial(ctx, addr, transport.Options{Hello: wire.Hello{Host: "client"}, TLS: cfg, Handler: func(*transport.Conn, uint64, wire.Message) {}})
	defer c.Close()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := c.Call(ctx, &wire.HeadRequest{}); err == nil {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// TestStrangersAreRefused guards against processes that accept messages from outside the fleet: from a client with a
// certificate of another authority or without TLS.
func TestStrangersAreRefused(t *testing.T) {
	Convey("A server with mutual TLS", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		fleet, stranger := issueCertificate(t), issueCertificate(t)
		srv := serve(ctx, t, fleet)
		So(isAnswered(ctx, t, srv.Addr(), fleet, 2*time.Second), ShouldBeTrue)
		So(isAnswered(ctx, t, srv.Addr(), stranger, 300*time.Millisecond), ShouldBeFalse)
		So(isAnswered(ctx, t, srv.Addr(), peertls.Files{}, 300*time.Millisecond), ShouldBeFalse)
	})
	Convey("Incomplete settings are an error", t, func() {
		_, err := peertls.Files{Cert: "x"}.Load()
		So(err, ShouldNotBeNil)
	})
}
