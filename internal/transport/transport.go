// Package transport carries wire messages between the project's own processes over TCP.
//
// A frame is a 4-byte big-endian length, a 1-byte kind, an 8-byte correlation id and the msgpack body. The length counts
// the bytes that follow it. A reply carries the correlation id of its request, and id 0 marks a message that expects no
// reply. The first message in each direction is a Hello.
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
	// MaxFrameBytes limits the size of a frame, counted after its length, so that a malformed length can't exhaust memory.
	MaxFrameBytes     = 8 << 20
	frameHeaderBytes  = 9    // kind and correlation id; the length is not included
	outgoingQueueSize = 4096 // frames
	handshakeTimeout  = 3 * time.Second
	writeTimeout      = 5 * time.Second
)

// ErrClosed is returned by calls on a connection that has ended.
var ErrClosed = errors.New("connection closed")

// ErrQueueFull is returned when the outgoing queue of a connection is full.
var ErrQueueFull = errors.New("outgoing queue of the connection is full")

// Counters counts the messages and the bytes of their frames for all connections that share it.
type Counters struct {
	SentBytes, ReceivedBytes       atomic.Uint64 // including the frame headers
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

// Handler handles the messages of a connection in order, except for replies. It is called on the goroutine that reads from
// the connection and must not block.
type Handler func(c *Conn, correlationID uint64, m wire.Message)

// Options configure either side of a connection.
type Options struct {
	Hello             wire.Hello
	Handler           Handler
	OnConnected       func(*Conn)                  // called after the handshake, before the first message is handled; may be nil
	OnDisconnected    func(*Conn)                  // called after the end of a connection that completed the handshake; may be nil
	OnHandshakeFailed func(addr string, err error) // called after a failed handshake, for example with an untrusted certificate; may be nil
	OnDialFailed      func(error)                  // called after a failed attempt to connect to the address; may be nil
	OnSilent          func(*Conn)                  // called before a connection ends because nothing arrives on it; may be nil
	TLS               *tls.Config                  // nil for plain TCP
	Counters          *Counters                    // nil to disable counting
	// SelectCounters replaces Counters if it is not nil. It returns the counters for a message of the given kind. The Hello
	// of the other side is zero during the handshake. SelectCounters is called concurrently.
	SelectCounters func(remote wire.Hello, kind wire.Kind) *Counters
}

func (o *Options) reportHandshakeFailure(addr string, err error) {
	if o.OnHandshakeFailed != nil {
		o.OnHandshakeFailed(addr, err)
	}
}

// frame is a message that waits to be sent.
type frame struct {
	correlationID uint64
	message       wire.Message
}

// Conn is one established connection.
type Conn struct {
	nc       *meteredConn
	opts     *Options
	remote   wire.Hello
	outgoing *ring.Ring[frame]
	ctx      context.Context
	cancel   context.CancelFunc

	mu           sync.Mutex
	lastCall     uint64                       // number of the latest call
	pendingCalls map[uint64]chan wire.Message // by correlation id
}

// newConn returns a connection that ends with ctx. Its run method serves it.
func newConn(ctx context.Context, nc net.Conn, opts *Options) *Conn {
	c := &Conn{nc: &meteredConn{Conn: nc}, opts: opts, outgoing: ring.New[frame](outgoingQueueSize), pendingCalls: make(map[uint64]chan wire.Message)}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// Remote returns the Hello of the other side, which is known after the handshake.
func (c *Conn) Remote() wire.Hello { return c.remote }

// RemoteAddr returns the network address of the other side.
func (c *Conn) RemoteAddr() string { return c.nc.RemoteAddr().String() }

// Done returns a channel that is closed when the connection ends.
func (c *Conn) Done() <-chan struct{} { return c.ctx.Done() }

// Close ends the connection.
func (c *Conn) Close() {
	c.cancel()
	c.nc.Close()
}

// Send queues a message that expects no reply.
func (c *Conn) Send(m wire.Message) error { return c.Reply(0, m) }

// Reply queues a message as the reply to the message with the given correlation id.
func (c *Conn) Reply(correlationID uint64, m wire.Message) error {
	if c.ctx.Err() != nil {
		return ErrClosed
	}
	if !c.outgoing.TryPush(frame{correlationID, m}) {
		return ErrQueueFull
	}
	return nil
}

// Call sends a request and waits for its reply.
func (c *Conn) Call(ctx context.Context, m wire.Message) (wire.Message, error) {
	reply := make(chan wire.Message, 1)
	c.mu.Lock()
	c.lastCall++
	correlationID := c.lastCall<<1 | 1 // odd, so never 0, which marks a message that expects no reply
	c.pendingCalls[correlationID] = reply
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pendingCalls, correlationID)
		c.mu.Unlock()
	}()
	probe := c.startProbe()
	defer probe.timer.Stop()
	if err := c.Reply(correlationID, m); err != nil {
		return nil, err
	}
	for {
		select {
		case r := <-reply:
			return r, nil
		case <-probe.timer.C:
			probe.ask()
		case <-ctx.Done():
			probe.end()
			return nil, ctx.Err()
		case <-c.ctx.Done():
			return nil, ErrClosed
		}
	}
}

// isReply reports whether messages of a kind are replies. The correlation id of a reply was chosen by this side, that of
// any other message by the other side.
func isReply(k wire.Kind) bool {
	switch k {
	case wire.KindHeadReply, wire.KindFileReply, wire.KindClaimReply, wire.KindAck, wire.KindInquiryReply,
		wire.KindPrepareReply, wire.KindViewReply:
		return true
	}
	return false
}

// handshake exchanges the Hello messages.
func (c *Conn) handshake(r *bufio.Reader) error {
	c.nc.SetDeadline(time.Now().Add(handshakeTimeout))
	hello := c.opts.Hello
	hello.KeepAlives = true
	if err := c.write(bufio.NewWriter(c.nc), frame{0, &hello}, true); err != nil {
		return err
	}
	_, m, err := c.read(r)
	if err != nil {
		return errors.Annotate(err, "handshake")
	}
	remote, ok := m.(*wire.Hello)
	if !ok {
		return errors.Errorf("handshake: first message has kind %d, want Hello", m.Kind())
	}
	c.remote = *remote
	return c.nc.SetDeadline(time.Time{})
}

// countersFor returns the counters for messages of a kind, or nil if they are not counted.
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
	if c.remote.KeepAlives {
		go c.keepAlive()
	}
	stop := context.AfterFunc(c.ctx, func() { c.nc.Close() })
	defer stop()
	for {
		correlationID, m, err := c.read(r)
		if err != nil {
			return err
		}
		if isReply(m.Kind()) {
			c.mu.Lock()
			reply := c.pendingCalls[correlationID]
			c.mu.Unlock()
			if reply != nil {
				select {
				case reply <- m:
				default:
				}
			}
			continue
		}
		if b, ok := m.(*wire.KeepAlive); ok {
			c.handleKeepAlive(b)
			continue
		}
		c.opts.Handler(c, correlationID, m)
	}
}

// writeLoop writes the frames of the outgoing queue until the connection ends.
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

// write encodes a frame into w and flushes w if flush is set.
func (c *Conn) write(w *bufio.Writer, f frame, flush bool) error {
	body, err := f.message.MarshalMsg(make([]byte, 0, f.message.Msgsize()))
	if err != nil {
		return errors.Trace(err)
	}
	if len(body)+frameHeaderBytes > MaxFrameBytes {
		return errors.Errorf("message of kind %d has %d bytes, limit is %d", f.message.Kind(), len(body), MaxFrameBytes-frameHeaderBytes)
	}
	var header [4 + frameHeaderBytes]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(body)+frameHeaderBytes))
	header[4] = byte(f.message.Kind())
	binary.BigEndian.PutUint64(header[5:], f.correlationID)
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.Write(header[:]); err != nil {
		return err
	}
	if _, err := w.Write(body); err != nil {
		return err
	}
	if counters := c.countersFor(f.message.Kind()); counters != nil {
		counters.countSent(len(header) + len(body))
	}
	if flush {
		return w.Flush()
	}
	return nil
}

// read returns the next message and its correlation id. It skips kinds that this version does not know, because a process
// of a later version may send them.
func (c *Conn) read(r *bufio.Reader) (uint64, wire.Message, error) {
	for {
		correlationID, m, err := c.readFrame(r)
		if err != nil || m != nil {
			return correlationID, m, err
		}
	}
}

// readFrame reads a frame and returns its correlation id and message. The message is nil if its kind is unknown.
func (c *Conn) readFrame(r *bufio.Reader) (uint64, wire.Message, error) {
	var header [4 + frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n < frameHeaderBytes || n > MaxFrameBytes {
		return 0, nil, errors.Errorf("frame of %d bytes is outside %d to %d", n, frameHeaderBytes, MaxFrameBytes)
	}
	m := wire.New(wire.Kind(header[4]))
	if m == nil {
		_, err := r.Discard(int(n - frameHeaderBytes))
		return 0, nil, err
	}
	body, err := readBody(r, int(n-frameHeaderBytes))
	if err != nil {
		return 0, nil, err
	}
	if counters := c.countersFor(m.Kind()); counters != nil {
		counters.countReceived(len(header) + len(body))
	}
	if err := checkBody(body); err != nil {
		return 0, nil, errors.Annotatef(err, "message of kind %d", header[4])
	}
	if _, err := m.UnmarshalMsg(body); err != nil {
		return 0, nil, errors.Annotatef(err, "decode message of kind %d", header[4])
	}
	return binary.BigEndian.Uint64(header[5:]), m, nil
}

// Server accepts connections and serves them.
type Server struct {
	listener net.Listener
	wg       sync.WaitGroup
}

// Listen starts a server on the TCP address. The server runs until ctx ends.
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

// accept serves each new connection on its own goroutine until the listener is closed.
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

// Wait waits until the context of Listen has ended and all connections are closed.
func (s *Server) Wait() { s.wg.Wait() }
