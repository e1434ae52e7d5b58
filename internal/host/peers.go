package host

import (
	"context"

	"sycamoredeal/internal/transport"
	"sycamoredeal/internal/wire"
)

// peer is the sending side of a connection between two hosts, or within one.
type peer interface {
	Send(m wire.Message) error
	Close()
}

// peerOptions returns the options for connections that other hosts open, to this host as dispatcher or as holder of the
// placement lease.
func (h *Host) peerOptions() transport.Options {
	log := h.log.Part("peers")
	return transport.Options{
		Hello: h.hello(),
		Handler: func(c *transport.Conn, corr uint64, m wire.Message) {
			if catchPanic(log, "message of a host", func() { h.handlePeerMessage(c, corr, m) }) != nil {
				c.Close()
			}
		},
		OnDisconnected:    func(c *transport.Conn) { h.dispatcher.pushEvent(c.Remote().Host, c, nil) },
		OnSilent:          h.logSilent,
		OnHandshakeFailed: func(addr string, err error) { log.Debug().Str("peer", addr).Err(err).Msg("Handshake failed.") },
	}
}

// logSilent logs that a connection to another host ends because nothing arrives on it.
func (h *Host) logSilent(c *transport.Conn) {
	h.log.Warn().Str("peer", c.Remote().Host).Str("address", c.RemoteAddr()).Msg("Connection is silent.")
}

// handlePeerMessage handles a message on a connection that another host has opened.
func (h *Host) handlePeerMessage(c *transport.Conn, corr uint64, m wire.Message) {
	switch m := m.(type) {
	case *wire.Prepare:
		h.holder.handlePrepare(m, func(r *wire.PrepareReply) { c.Reply(corr, r) })
	case *wire.ViewRequest:
		c.Reply(corr, h.directory.viewReply())
	default:
		h.dispatcher.pushEvent(c.Remote().Host, c, m)
	}
}

// dialPeer opens a connection to another host. A panic in handler closes the connection.
func (h *Host) dialPeer(ctx context.Context, addr string, handler transport.Handler, up, down func(*transport.Conn)) *transport.Client {
	return h.dialPeerWith(ctx, addr, transport.Options{Handler: handler, OnConnected: up, OnDisconnected: down})
}

// dialPeerWith opens a connection to another host with some options. A panic in the handler closes the connection.
func (h *Host) dialPeerWith(ctx context.Context, addr string, o transport.Options) *transport.Client {
	o.Hello, o.OnSilent = h.hello(), h.logSilent
	handler := o.Handler
	o.Handler = func(c *transport.Conn, corr uint64, m wire.Message) {
		if catchPanic(h.log, "answer of a host", func() { handler(c, corr, m) }) != nil {
			c.Close()
		}
	}
	return transport.Dial(ctx, addr, o)
}
