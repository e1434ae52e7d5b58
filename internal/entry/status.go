package entry

import (
	"context"
	"net"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"sycamoredeal/internal/transport"
)

// counters count the messages of the entry process by their purpose.
type counters struct {
	asks       transport.Counters // with the dispatcher at another host
	dispatcher transport.Counters // of the dispatcher in this process with other entries
	claims     transport.Counters // with claim shard owners
	control    transport.Counters // with control processes
}

// MessageCount counts messages of the project's own protocol since the start of the process.
type MessageCount struct {
	SentBytes        uint64 `json:"sentBytes"`
	ReceivedBytes    uint64 `json:"receivedBytes"`
	SentMessages     uint64 `json:"sentMessages"`
	ReceivedMessages uint64 `json:"receivedMessages"`
}

// Status is the answer to GET /statusz.
type Status struct {
	Host       string       `json:"host"`
	Asks       MessageCount `json:"asks"`       // with the dispatcher at another host
	Dispatcher MessageCount `json:"dispatcher"` // of the dispatcher in this process with other entries
	Claims     MessageCount `json:"claims"`     // with claim shard owners
	Control    MessageCount `json:"control"`    // with control processes
}

func count(c *transport.Counters) MessageCount {
	return MessageCount{c.Sent.Load(), c.Received.Load(), c.SentMessages.Load(), c.ReceivedMessages.Load()}
}

// statusz answers processes of the same host only, because the entry's port is the callers' one.
func (e *Entry) statusz(_ context.Context, c *app.RequestContext) {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		c.String(http.StatusNotFound, "not found")
		return
	}
	c.JSON(http.StatusOK, Status{
		Host: e.opts.Host, Asks: count(&e.counters.asks), Dispatcher: count(&e.counters.dispatcher),
		Claims: count(&e.counters.claims), Control: count(&e.counters.control),
	})
}
