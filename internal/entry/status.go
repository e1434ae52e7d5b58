package entry

import "sycamoredeal/internal/transport"

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

// Status is the answer to GET /v1/status of the admin port.
type Status struct {
	Host       string       `json:"host"`
	Asks       MessageCount `json:"asks"`       // with the dispatcher at another host
	Dispatcher MessageCount `json:"dispatcher"` // of the dispatcher in this process with other entries
	Claims     MessageCount `json:"claims"`     // with claim shard owners
	Control    MessageCount `json:"control"`    // with control processes
}

func count(c *transport.Counters) MessageCount {
	return MessageCount{c.SentBytes.Load(), c.ReceivedBytes.Load(), c.SentMessages.Load(), c.ReceivedMessages.Load()}
}

// Status returns what the process has exchanged with others.
func (e *Entry) Status() Status {
	return Status{
		Host: e.opts.Host, Asks: count(&e.counters.asks), Dispatcher: count(&e.counters.dispatcher),
		Claims: count(&e.counters.claims), Control: count(&e.counters.control),
	}
}
