package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// fields returns n short lines of a head with different names.
func fields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// newCountingPool returns a pool that counts heads, on a host with the given memory.
func newCountingPool(memory int64) *Pool {
	p := NewPool(0)
	p.CountHeads(func() Holding { return p.Held().New(HeldHead, "", memory) })
	return p
}

// TestHeadsWithinBound has many endpoints begin heads that do not end. It guards against a host that keeps more of them than its
// memory has room for, and against bytes that stay counted.
func TestHeadsWithinBound(t *testing.T) {
	const memory, conns = 16 << 20, 64
	addr := startServer(t, func(_ int32, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, "HTTP/1.1 200 OK\r\n"+fields(8000))
		io.Copy(io.Discard, r)
	})
	p := newCountingPool(memory)
	bound := LimitsFor(HeldHead, memory).Host
	done := make(chan struct{})
	var most int
	go func() {
		defer close(done)
		for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			most = max(most, p.Held().Bytes()[HeldHead.String()])
		}
	}()
	var wg sync.WaitGroup
	var mu sync.Mutex
	ended := 0
	for range conns {
		wg.Go(func() {
			_, err := do(t, p, &Request{Address: addr, Method: "GET", Target: "/"})
			var held *HeldError
			if err == nil {
				t.Error("got a response whose head has not ended")
			}
			mu.Lock()
			defer mu.Unlock()
			if errors.As(err, &held) {
				ended++
			}
		})
	}
	wg.Wait()
	<-done
	if int64(most) > bound || most == 0 || ended == 0 {
		t.Errorf("at most %d bytes held of %d, %d heads ended for lack of memory", most, bound, ended)
	}
	if n := p.Held().Bytes()[HeldHead.String()]; n != 0 {
		t.Errorf("%d bytes are still held", n)
	}
}

// TestLongSoundHeads guards against sound heads that are rejected: a long one while there is memory, and a short one, or a response
// whose body comes with its head, while there is none. It guards against bytes that stay counted, too.
func TestLongSoundHeads(t *testing.T) {
	for name, c := range map[string]struct {
		fields, body int
		full         bool // no memory is left
		ok           bool
	}{
		"long":                 {4000, 2, false, true},
		"long without memory":  {4000, 2, true, false},
		"short without memory": {40, 2, true, true},
		"long body":            {10, 60 << 10, true, true},
	} {
		addr := startServer(t, func(_ int32, conn net.Conn, r *bufio.Reader) {
			for {
				if _, _, err := readRequest(r); err != nil {
					return
				}
				head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n", fields(c.fields), c.body)
				io.WriteString(conn, head[:len(head)/2])
				time.Sleep(5 * time.Millisecond)
				io.WriteString(conn, head[len(head)/2:]+"\r\n"+strings.Repeat("x", c.body))
			}
		})
		p := newCountingPool(testMemory)
		if c.full {
			others := p.Held().New(HeldAnswer, "", testMemory)
			others.Charge(LimitsFor(HeldAnswer, testMemory).Host)
		}
		for range 2 { // the second one on the kept connection
			if body, err := do(t, p, &Request{Address: addr, Method: "GET", Target: "/"}); (err == nil) != c.ok || c.ok && len(body) != c.body {
				t.Errorf("%s: %d bytes of body, error %v", name, len(body), err)
			}
		}
		if n := p.Held().Bytes()[HeldHead.String()]; n != 0 {
			t.Errorf("%s: %d bytes are still held", name, n)
		}
	}
}

// TestHeadErrorIsFinal guards against a head that is read on after it was given up, because memory is free again: a field that was cut
// there was taken for the end of the head, and the caller got the rest of the fields as the body of a success.
func TestHeadErrorIsFinal(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	go func() {
		io.WriteString(server, strings.Repeat("X-Filler: y\r\n", 1000))
		server.Close()
	}()
	p := newCountingPool(testMemory)
	others := p.Held().New(HeldAnswer, "", testMemory)
	others.Charge(LimitsFor(HeldAnswer, testMemory).Host)
	c := newConn(client)
	c.readLimit = maxHeaderBytes
	c.head.begin(p.newHeadHolding())
	_, err := io.Copy(io.Discard, c)
	var held *HeldError
	if !errors.As(err, &held) {
		t.Fatalf("error %v, want one of memory", err)
	}
	others.Release()
	if n, err := c.Read(make([]byte, 100)); n > 0 || !errors.As(err, &held) {
		t.Errorf("read %d bytes, error %v", n, err)
	}
}
