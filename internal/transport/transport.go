// Package transport carries wire messages between the project's own processes over TCP.
//
// A frame is a 4-byte big-endian length, a 1-byte kind, an 8-byte correlation id and the msgpack body. The length counts
// everything after itself. A reply carries the correlation id of its request; id 0 marks a message that expects none.
// Both sides send a Hello first.
package transport

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"sycamoredeal/internal/ring"
	"sycamoredeal/internal/wire"
)

const (
	// MaxFrameBytes bounds the size of a frame in bytes, so that a malformed length can't exhaust memory.
	MaxFrameBytes     = 8 << 20
	frameHeaderBytes  = 9
	outgoingQueueSize = 4096
	handshakeTimeout  = 3 * time.Second
	writeTimeout      = 5 * time.Second
)

// ErrClosed is returned by calls on a connection that has ended.
var ErrClosed = errors.New("connection closed")

// ErrQueueFull is returned when the outgoing ring of a connection is full.
var ErrQueueFull = errors.New("outgoing ring full")

// Counters counts the frames of all connections that share it.
type Counters struct {
	SentBytes, ReceivedBytes       atomic.Uint64 // bytes
	SentMessages, ReceivedMessages atomic.Uint64
}

func (c *Counters) countSent(bytes int) {
	c.SentBytes.Add(uint64(bytes))
	c.SentMessages.Add(1)
}

func (c *Counters) countReceived(bytes int) {
	c.ReceivedBytes.Add(uint64(bytes))
	c.ReceivedMessages.Add(1)
}

// Handler receives the messages of a connection in order, on the connection's reading goroutine. It must not block.
type Handler func(c *Conn, corr uint64, m wire.Message)

// Options are common to both sides of a connection.
type Options struct {
	Hello             wire.Hello
	Handler           Handler
	OnConnected       func(*Conn)                  // after the handshake, before the first message; may be nil
	OnDisconnected    func(*Conn)                  // after the connection ended; may be nil
	OnHandshakeFailed func(addr string, err error) // after a handshake failed, which a foreign certificate causes; may be nil
	TLS               *tls.Config                  // nil for plain TCP
	Counters          *Counters                    // nil to count nothing
	// SelectCounters replaces Counters if it is not nil. It is given the Hello of the other side, which is zero during the
	// handshake, and the kind of the message. It is called concurrently.
	SelectCounters func(remote wire.Hello, kind wire.Kind) *Counters
}

func (o *Options) reportHandshakeFailure(addr string, err error) {
	if o.OnHandshakeFailed != nil {
		o.OnHandshakeFailed(addr, err)
	}
}

type frame struct {
	correlationID uint64
	message       wire.Message
}

// Conn is one established connection.
type Conn struct {
	nc       net.Conn
	opts     *Options
	remote   wire.Hello
	outgoing *ring.Ring[frame]
	ctx      context.Context
	cancel   context.CancelFunc

	mu           sync.Mutex
	lastCall     uint64
	pendingCalls map[uint64]chan wire.Message
}

func newConn(ctx context.Context, nc net.Conn, opts *Options) *Conn {
	c := &Conn{nc: nc, opts: opts, outgoing: ring.New[frame](outgoingQueueSize), pendingCalls: make(map[uint64]chan wire.Message)}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// Remote returns the Hello of the other side.
func (c *Conn) Remote() wire.Hello { return c.remote }

// RemoteAddr returns the network address of the other side.
func (c *Conn) RemoteAddr() string { return c.nc.RemoteAddr().String() }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.ctx.Done() }

// Close ends the connection.
func (c *Conn) Close() {
	c.cancel()
	c.nc.Close()
}

// Send queues a message that expects no reply.
func (c *Conn) Send(m wire.Message) error { return c.Reply(0, m) }

// Reply queues the reply to the message with the given correlation id.
func (c *Conn) Reply(corr uint64, m wire.Message) error {
	if c.ctx.Err() != nil {
		return ErrClosed
	}
	if !c.outgoing.TryPush(frame{corr, m}) {
		return ErrQueueFull
	}
	return nil
}

// Call sends a request and waits for its reply.
func (c *Conn) Call(ctx context.Context, m wire.Message) (wire.Message, error) {
	reply := make(chan wire.Message, 1)
	c.mu.Lock()
	c.lastCall++
	corr := c.lastCall<<1 | 1 // odd ids are requests of this side, so replies can't be confused with requests
	c.pendingCalls[corr] = reply
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pendingCalls, corr)
		c.mu.Unlock()
	}()
	if err := c.Reply(corr, m); err != nil {
		return nil, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.ctx.Done():
		return nil, ErrClosed
	}
}

// isReply tells whether a message kind answers a request, so that a correlation id of ours is looked up for it.
func isReply(k wire.Kind) bool {
	switch k {
	case wire.KindHeadReply, wire.KindFileReply, wire.KindClaimReply, wire.KindAck, wire.KindInquiryReply,
		wire.KindPrepareReply, wire.KindViewReply:
		return true
	}
	return false
}

func (c *Conn) handshake(r *bufio.Reader) error {
	c.nc.SetDeadline(time.Now().Add(handshakeTimeout))
	hello := c.opts.Hello
	if err := c.write(bufio.NewWriter(c.nc), frame{0, &hello}, true); err != nil {
		return err
	}
	_, m, err := c.read(r)
	if err != nil {
		return errors.Annotate(err, "handshake")
	}
	h, ok := m.(*wire.Hello)
	if !ok {
		return errors.Errorf("handshake: first message has kind %d, want Hello", m.Kind())
	}
	c.remote = *h
	return c.nc.SetDeadline(time.Time{})
}

// countersFor returns the countersFor for messages of a kind, or nil.
func (c *Conn) countersFor(k wire.Kind) *Counters {
	if c.opts.SelectCounters != nil {
		return c.opts.SelectCounters(c.remote, k)
	}
	return c.opts.Counters
}

// run serves the connection until it ends.
func (c *Conn) run() error {
	defer c.Close()
	r := bufio.NewReaderSize(c.nc, 32<<10)
	if err := c.handshake(r); err != nil {
		if c.ctx.Err() == nil {
			c.opts.reportHandshakeFailure(c.RemoteAddr(), err)
		}
		return err
	}
	if c.opts.OnConnected != nil {
		c.opts.OnConnected(c)
	}
	if c.opts.OnDisconnected != nil {
		defer c.opts.OnDisconnected(c)
	}
	go c.writeLoop()
	stop := context.AfterFunc(c.ctx, func() { c.nc.Close() })
	defer stop()
	for {
		corr, m, err := c.read(r)
		if err != nil {
			return err
		}
		if isReply(m.Kind()) {
			c.mu.Lock()
			ch := c.pendingCalls[corr]
			c.mu.Unlock()
			if ch != nil {
				select {
				case ch <- m:
				default:
				}
			}
			continue
		}
		c.opts.Handler(c, corr, m)
	}
}

func (c *Conn) writeLoop() {
	defer c.Close()
	w := bufio.NewWriterSize(c.nc, 32<<10)
	for {
		f, err := c.outgoing.Pop(c.ctx)
		if err != nil {
			return
		}
		if err := c.write(w, f, c.outgoing.Len() == 0); err != nil {
			return
		}
	}
}

func (c *Conn) write(w *bufio.Writer, f frame, flush bool) error {
	body, err := f.message.MarshalMsg(make([]byte, 0, f.message.Msgsize()))
	if err != nil {
		return errors.Trace(err)
	}
	if len(body)+frameHeaderBytes > MaxFrameBytes {
		return errors.Errorf("message of kind %d has %d bytes, limit is %d", f.message.Kind(), len(body), MaxFrameBytes-frameHeaderBytes)
	}
	var h [4 + frameHeaderBytes]byte
	binary.BigEndian.PutUint32(h[:], uint32(len(body)+frameHeaderBytes))
	h[4] = byte(f.message.Kind())
	binary.BigEndian.PutUint64(h[5:], f.correlationID)
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.Write(h[:]); err != nil {
		return err
	}
	if _, err := w.Write(body); err != nil {
		return err
	}
	if n := c.countersFor(f.message.Kind()); n != nil {
		n.countSent(len(h) + len(body))
	}
	if flush {
		return w.Flush()
	}
	return nil
}

// read returns the next message. It passes over kinds that this version does not know, which a later version of another
// process may send.
func (c *Conn) read(r *bufio.Reader) (uint64, wire.Message, error) {
	for {
		corr, m, err := c.readFrame(r)
		if err != nil || m != nil {
			return corr, m, err
		}
	}
}

// readFrame returns a nil message for an unknown kind.
func (c *Conn) readFrame(r *bufio.Reader) (uint64, wire.Message, error) {
	var h [4 + frameHeaderBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(h[:])
	if n < frameHeaderBytes || n > MaxFrameBytes {
		return 0, nil, errors.Errorf("frame of %d bytes is outside %d to %d", n, frameHeaderBytes, MaxFrameBytes)
	}
	m := wire.New(wire.Kind(h[4]))
	if m == nil {
		_, err := r.Discard(int(n - frameHeaderBytes))
		return 0, nil, err
	}
	body, err := readBody(r, int(n-frameHeaderBytes))
	if err != nil {
		return 0, nil, err
	}
	if n := c.countersFor(m.Kind()); n != nil {
		n.countReceived(len(h) + len(body))
	}
	if err := checkBody(body); err != nil {
		return 0, nil, errors.Annotatef(err, "message of kind %d", h[4])
	}
	if _, err := m.UnmarshalMsg(body); err != nil {
		return 0, nil, errors.Annotatef(err, "decode message of kind %d", h[4])
	}
	return binary.BigEndian.Uint64(h[5:]), m, nil
}

// Server accepts connections.
type Server struct {
	listener net.Listener
	wg       sync.WaitGroup
}

// Listen serves connections on the TCP address until ctx ends.
func Listen(ctx context.Context, addr string, opts Options) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if opts.TLS != nil {
		ln = tls.NewListener(ln, opts.TLS)
	}
	s := &Server{listener: ln}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		s.accept(ctx, &opts)
	}()
	context.AfterFunc(ctx, func() { ln.Close() })
	return s, nil
}

func (s *Server) accept(ctx context.Context, opts *Options) {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			newConn(ctx, nc, opts).run()
		}()
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Wait returns after ctx has ended and all connections are closed.
func (s *Server) Wait() { s.wg.Wait() }
