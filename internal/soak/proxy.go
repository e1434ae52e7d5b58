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
	Pass    Mode = iota
	Silent       // bytes of both directions are held, as behind a partition
	OneWay       // bytes from the target are held
	Delayed      // bytes arrive late
)

const (
	proxyBuffer  = 16 << 10
	holdPoll     = 5 * time.Millisecond // between looks at the mode while bytes are held
	proxyConnect = time.Second
)

// Proxy passes TCP connections on loopback on to a target that can be changed, and harms them when told to.
type Proxy struct {
	ln net.Listener

	mu     sync.Mutex
	target string
	mode   Mode
	delay  time.Duration
	open   map[*net.TCPConn]bool
	closed bool
}

// NewProxy listens on an address of loopback.
func NewProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "proxy")
	}
	p := &Proxy{ln: ln, target: target, open: make(map[*net.TCPConn]bool)}
	go p.accept()
	return p, nil
}

// Address returns ip:port of the proxy.
func (p *Proxy) Address() string { return p.ln.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.ln.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Reset()
}

// SetMode changes the mode. delay is used by Delayed.
func (p *Proxy) SetMode(m Mode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = m, delay
}

// SetTarget leads new connections elsewhere.
func (p *Proxy) SetTarget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = addr
}

// Reset closes all connections with a reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.SetLinger(0) // a failure means that the connection has ended
		c.Close()
	}
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(c.(*net.TCPConn))
	}
}

func (p *Proxy) keep(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return false
	}
	p.open[c] = true
	return true
}

func (p *Proxy) forget(c *net.TCPConn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

func (p *Proxy) serve(near *net.TCPConn) {
	if !p.keep(near) {
		return
	}
	defer p.forget(near)
	if !p.hold(near, false) {
		return
	}
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	c, err := net.DialTimeout("tcp4", target, proxyConnect)
	if err != nil {
		near.SetLinger(0) // as a port without a listener
		return
	}
	far := c.(*net.TCPConn)
	if !p.keep(far) {
		return
	}
	defer p.forget(far)
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(far, near, false) })
	wg.Go(func() { p.copy(near, far, true) })
	wg.Wait()
}

// copy passes the bytes of one direction on. The end of one side is passed on as well.
func (p *Proxy) copy(to, from *net.TCPConn, answers bool) {
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.hold(from, answers) {
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
			if p.hold(from, answers) {
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

// hold waits while the mode holds a direction's bytes. It returns false once the connection was closed by Reset.
func (p *Proxy) hold(c *net.TCPConn, answers bool) bool {
	delayed := false
	for {
		p.mu.Lock()
		m, delay, open := p.mode, p.delay, p.open[c] && !p.closed
		p.mu.Unlock()
		switch {
		case !open:
			return false
		case m == Silent, m == OneWay && answers:
			time.Sleep(holdPoll)
		case m == Delayed && !delayed:
			delayed = true
			time.Sleep(delay)
		default:
			return true
		}
	}
}
