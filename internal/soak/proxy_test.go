package soak

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// echoServer returns the address of a server that sends back the bytes it receives.
func echoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	return ln.Addr().String()
}

// dialProxy returns a proxy in front of an echo server, and a connection through it.
func dialProxy(t *testing.T) (*Proxy, net.Conn) {
	t.Helper()
	p, err := NewProxy(echoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	c, err := net.Dial("tcp4", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return p, c
}

// echoesWithin reports whether the server sends a byte back within a given time.
func echoesWithin(c net.Conn, within time.Duration) bool {
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	c.SetReadDeadline(time.Now().Add(within))
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

// TestProxy guards against a proxy that does not cause the faults of its modes: a soak would then test nothing.
func TestProxy(t *testing.T) {
	const short, long = 100 * time.Millisecond, 3 * time.Second
	p, c := dialProxy(t)
	if !echoesWithin(c, long) {
		t.Fatal("the proxy does not forward bytes")
	}
	for _, m := range []Mode{Silent, OneWay} {
		p.SetMode(m, 0)
		if echoesWithin(c, short) {
			t.Errorf("mode %d forwards answers", m)
		}
		p.SetMode(Pass, 0)
		c.SetReadDeadline(time.Now().Add(long))
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Errorf("mode %d loses held bytes: %v", m, err)
		}
	}
	p.SetMode(Delayed, short)
	begun := time.Now()
	if !echoesWithin(c, long) || time.Since(begun) < short {
		t.Errorf("delayed bytes arrived after %v", time.Since(begun))
	}
	p.SetMode(Pass, 0)
	p.Reset()
	if echoesWithin(c, long) {
		t.Error("a connection still works after Reset")
	}
}

// TestProxyTarget guards against new connections that reach the former target after its address was given to another server.
func TestProxyTarget(t *testing.T) {
	p, _ := dialProxy(t)
	p.SetTarget("127.0.0.1:1") // no server listens on this port
	c, err := net.Dial("tcp4", p.Address())
	if errors.Is(err, syscall.ECONNRESET) {
		return // the proxy accepted and reset the connection before Dial returned
	}
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if echoesWithin(c, 3*time.Second) {
		t.Error("the former target answers")
	}
}

// TestProxySilenceOpen guards against silent connections that end or forward bytes, and against new ones that are silent too.
func TestProxySilenceOpen(t *testing.T) {
	p, c := dialProxy(t)
	if !echoesWithin(c, time.Second) {
		t.Fatal("the proxy does not forward bytes")
	}
	if n := p.SilenceOpen(); n != 1 {
		t.Errorf("%d connections silenced", n)
	}
	if echoesWithin(c, 100*time.Millisecond) {
		t.Error("a silent connection forwards bytes")
	}
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	var timeout net.Error
	if _, err := c.Read(make([]byte, 1)); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("a silent connection ends: %v", err)
	}
	other, err := net.Dial("tcp4", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if !echoesWithin(other, time.Second) {
		t.Error("a new connection is silent too")
	}
}
