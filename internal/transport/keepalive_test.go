package transport

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sycamoredeal/internal/wire"
)

// silentPath forwards connections to an address. Those that are open can be silenced for good in one or both directions: their
// bytes are read, so that they are acknowledged, and dropped.
type silentPath struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     []*[2]atomic.Bool // directions that are silent: to the target, from it
}

func newSilentPath(t *testing.T, target string) *silentPath {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &silentPath{listener: ln, target: target}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *silentPath) serve(c net.Conn) {
	up, err := net.Dial("tcp4", p.target)
	if err != nil {
		c.Close()
		return
	}
	silent := &[2]atomic.Bool{}
	p.mu.Lock()
	p.open = append(p.open, silent)
	p.mu.Unlock()
	forward := func(to, from net.Conn, silent *atomic.Bool) {
		buf := make([]byte, 4096)
		for {
			n, err := from.Read(buf)
			if !silent.Load() && n > 0 {
				_, err = to.Write(buf[:n])
			}
			if err == io.EOF || err != nil {
				if !silent.Load() {
					to.Close()
				}
				return
			}
		}
	}
	go forward(up, c, &silent[0])
	go forward(c, up, &silent[1])
}

func (p *silentPath) silence(toTarget, fromTarget bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.open {
		s[0].Store(toTarget)
		s[1].Store(fromTarget)
	}
}

// startAnswering starts a server that answers claims after a delay, and counts its open connections.
func startAnswering(t *testing.T, ctx context.Context, delay time.Duration) (addr string, open *atomic.Int64) {
	t.Helper()
	open = &atomic.Int64{}
	s, err := Listen(ctx, "127.0.0.1:0", Options{
		Handler: func(c *Conn, id uint64, m wire.Message) {
			time.AfterFunc(delay, func() { c.Reply(id, &wire.ViewReply{}) })
		},
		OnConnected: func(*Conn) { open.Add(1) }, OnDisconnected: func(*Conn) { open.Add(-1) },
	})
	if err != nil {
		t.Fatal(err)
	}
	return s.Addr(), open
}

func callWithin(ctx context.Context, c *Client, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for c.Conn() == nil && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	_, err := c.Call(ctx, &wire.ViewRequest{})
	return err
}

// TestSilentConnection guards against a connection that goes silent for good, in both directions or in one, and is used until
// the operating system gives it up: every call on it fails. The accepting side has to end it too, or connections pile up.
func TestSilentConnection(t *testing.T) {
	for _, c := range []struct {
		name                 string
		toTarget, fromTarget bool
	}{{"both ways", true, true}, {"to the server", true, false}, {"from the server", false, true}} {
		for _, inUse := range []bool{true, false} {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				addr, open := startAnswering(t, t.Context(), 0)
				path := newSilentPath(t, addr)
				client := Dial(t.Context(), path.listener.Addr().String(), Options{Handler: func(*Conn, uint64, wire.Message) {}})
				if err := callWithin(t.Context(), client, time.Second); err != nil {
					t.Fatal(err)
				}
				first := client.Conn()
				path.silence(c.toTarget, c.fromTarget)
				if inUse {
					if err := callWithin(t.Context(), client, 700*time.Millisecond); err == nil {
						t.Error("a call on a silent connection was answered")
					}
					if err := callWithin(t.Context(), client, time.Second); err != nil {
						t.Errorf("the call after one on a silent connection: %v", err)
					}
				}
				limit := (maxMissedKeepAlives + 2) * keepAliveInterval
				select {
				case <-first.Done():
				case <-time.After(limit):
					t.Errorf("a connection that is silent is still open after %v", limit)
				}
				for end := time.Now().Add(limit); open.Load() > 1 || open.Load() == 0; time.Sleep(10 * time.Millisecond) {
					if time.Now().After(end) {
						t.Fatalf("the server has %d connections", open.Load())
					}
				}
				if err := callWithin(t.Context(), client, time.Second); err != nil {
					t.Errorf("later: %v", err)
				}
			})
		}
	}
}

// TestQuietConnectionStays guards against ending sound connections: one without messages, and one whose calls are answered late.
func TestQuietConnectionStays(t *testing.T) {
	t.Parallel()
	addr, _ := startAnswering(t, t.Context(), 2*time.Second)
	client := Dial(t.Context(), addr, Options{Handler: func(*Conn, uint64, wire.Message) {}})
	callWithin(t.Context(), client, time.Millisecond*700)
	first := client.Conn()
	if err := callWithin(t.Context(), client, 700*time.Millisecond); err == nil {
		t.Error("an answer of 2 s came within 0.7 s")
	}
	select {
	case <-first.Done():
		t.Error("a sound connection was ended")
	case <-time.After((maxMissedKeepAlives + 2) * keepAliveInterval):
	}
}
