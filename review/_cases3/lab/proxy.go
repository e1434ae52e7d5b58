package lab

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// Proxy forwards connections from a host to the platform's store.
type Proxy struct {
	Address string
	target  string

	mu    sync.Mutex
	armed func(request string) bool // tells whether the connection of a request goes silent
	hit   chan time.Time
}

type proxyConn struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
}

// NewProxy starts a proxy to a target.
func (l *Lab) NewProxy(target string) *Proxy {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	l.Check(err, "proxy")
	p := &Proxy{Address: ln.Addr().String(), target: target, hit: make(chan time.Time, 1)}
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

// SilenceNext makes the connection of the next request for which match is true go silent as soon as the request has passed: it
// stays open, and nothing comes back on it. All other connections work on. It returns when that has happened.
func (p *Proxy) SilenceNext(match func(line string) bool) <-chan time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed = match
	return p.hit
}

func (p *Proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		client.Close()
		return
	}
	c := &proxyConn{client: client, server: server}
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := server.Read(buf)
			c.mu.Lock()
			silent := c.silent
			c.mu.Unlock()
			if n > 0 && !silent {
				client.Write(buf[:n])
			}
			if err != nil {
				break
			}
		}
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if !silent {
			client.Close()
		}
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := client.Read(buf)
		if n > 0 {
			if line, _, ok := bytes.Cut(buf[:n], []byte("\r\n")); ok && bytes.HasSuffix(line, []byte("HTTP/1.1")) {
				p.mu.Lock()
				hit := p.armed != nil && p.armed(string(line))
				if hit {
					p.armed = nil
				}
				p.mu.Unlock()
				c.mu.Lock()
				c.silent = c.silent || hit
				c.mu.Unlock()
				if hit {
					p.hit <- time.Now()
				}
			}
			if _, err := server.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	client.Close()
	server.Close()
}
