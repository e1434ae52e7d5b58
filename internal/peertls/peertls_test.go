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

// issue writes an authority's certificate, and a certificate and key signed by it, into a new folder.
func issue(t *testing.T) peertls.Files {
	t.Helper()
	f, err := testbed.IssueCertificate(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
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
