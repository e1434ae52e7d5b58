package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Mode is what a proxy does to the connections that pass through it.
type Mode uint8

// Modes of a proxy.
const (
	Pass    Mode = iota // bytes are forwarded at once
	Silent              // bytes of both directions are held, as in a network partition
	OneWay              // bytes from the target are held
	Delayed             // bytes of both directions are delayed
)

const (
	proxyBufferSize  = 16 << 10
	holdPollInterval = 5 * time.Millisecond // between two checks of the mode while bytes are held
	proxyDialTimeout = time.Second
)

// Proxy forwards TCP connections on loopback to a target that can be changed, and disturbs them according to its mode.
type Proxy struct {
	ln net.Listener

	mu     sync.Mutex
	target string
	mode   Mode
	delay  time.Duration
	conns  map[*net.TCPConn]bool
	silent map[*net.TCPConn]bool // connections whose bytes are dropped, see SilenceOpen
	closed bool
}

// NewProxy returns a proxy that listens on a free port of loopback.
func NewProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "proxy")
	}
	p := &Proxy{ln: ln, target: target, conns: make(map[*net.TCPConn]bool), silent: make(map[*net.TCPConn]bool)}
	go p.accept()
	return p, nil
}

// Address returns the ip:port on which the proxy listens.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// Close closes the listener and resets all connections.
func (p *Proxy) Close() {
	p.ln.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Reset()
}

// SetMode changes the mode for all connections. The delay applies to Delayed only.
func (p *Proxy) SetMode(m Mode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = m, delay
}

// SetTarget changes the target of new connections.
func (p *Proxy) SetTarget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = addr
}

// Reset closes all connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.SetLinger(0) // fails only if the connection has already ended
		c.Close()
	}
}

// SilenceOpen makes the connections that are open go silent for good, while new ones work. Their bytes are acknowledged and
// dropped, and neither side learns that the other one has closed. It returns their number.
func (p *Proxy) SilenceOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.silent[c] = true
	}
	return len(p.conns) / 2
}

func (p *Proxy) isSilent(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[c]
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return // the proxy is closed
		}
		go p.serve(c.(*net.TCPConn))
	}
}

// track adds an open connection. If the proxy is closed, it closes the connection and returns false.
func (p *Proxy) track(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

// untrack closes a connection and removes it from the open ones.
func (p *Proxy) untrack(c *net.TCPConn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	delete(p.silent, c)
}

// serve connects a client to the target and forwards the bytes of both directions.
func (p *Proxy) serve(client *net.TCPConn) {
	if !p.track(client) {
		return
	}
	defer p.untrack(client)
	if !p.waitWhileHeld(client, false) {
		return
	}
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	c, err := net.DialTimeout("tcp4", target, proxyDialTimeout)
	if err != nil {
		client.SetLinger(0) // the client sees a reset, as from a port without a listener
		return
	}
	upstream := c.(*net.TCPConn)
	if !p.track(upstream) {
		return
	}
	defer p.untrack(upstream)
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(upstream, client, false) })
	wg.Go(func() { p.forward(client, upstream, true) })
	wg.Wait()
}

// forward forwards the bytes of one direction, and the end of the stream or a reset.
func (p *Proxy) forward(to, from *net.TCPConn, fromTarget bool) {
	buf := make([]byte, proxyBufferSize)
	for {
		n, err := from.Read(buf)
		if p.isSilent(from) {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if !p.waitWhileHeld(from, fromTarget) {
				return
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				from.SetLinger(0)
				from.Close()
				return
			}
		}
		switch {
		case err == io.EOF:
			if p.waitWhileHeld(from, fromTarget) {
				to.CloseWrite()
			}
			return
		case err != nil:
			to.SetLinger(0)
			to.Close()
			return
		}
	}
}

// waitWhileHeld blocks while the mode holds or delays the bytes of a direction. It returns false if the connection or the
// proxy was closed.
func (p *Proxy) waitWhileHeld(c *net.TCPConn, fromTarget bool) bool {
	waited := false
	for {
		p.mu.Lock()
		m, delay, open := p.mode, p.delay, p.conns[c] && !p.closed
		p.mu.Unlock()
		switch {
		case !open:
			return false
		case m == Silent, m == OneWay && fromTarget:
			time.Sleep(holdPollInterval)
		case m == Delayed && !waited:
			waited = true
			time.Sleep(delay)
		default:
			return true
		}
	}
}
