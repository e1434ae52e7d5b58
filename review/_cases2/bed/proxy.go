package bed

import (
	"io"
	"net"
	"sync"
)

// Proxy forwards TCP connections to a server and can reset some of them.
type Proxy struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	pairs  [][2]*net.TCPConn
}

// NewProxy starts a proxy on a free port of loopback.
func (b *Bed) NewProxy(target string) *Proxy {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fail("%v", err)
	}
	p := &Proxy{ln: ln, target: target}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(c.(*net.TCPConn))
		}
	}()
	return p
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

func (p *Proxy) forward(c *net.TCPConn) {
	s, err := net.Dial("tcp4", p.target)
	if err != nil {
		c.Close()
		return
	}
	up := s.(*net.TCPConn)
	p.mu.Lock()
	p.pairs = append(p.pairs, [2]*net.TCPConn{c, up})
	p.mu.Unlock()
	go func() {
		io.Copy(up, c)
		up.CloseWrite()
	}()
	io.Copy(c, up)
	c.CloseWrite()
}

// Reset resets a share of the connections that have been opened so far, and returns their number.
func (p *Proxy) Reset(share float64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := int(share * float64(len(p.pairs)))
	for _, pair := range p.pairs[:n] {
		for _, c := range pair {
			c.SetLinger(0)
			c.Close()
		}
	}
	p.pairs = p.pairs[n:]
	return n
}
