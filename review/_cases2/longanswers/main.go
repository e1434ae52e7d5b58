// Command longanswers resets connections to a server in the middle of long answers while their clients read slowly, and checks that
// no answer that was cut looks complete. Every other answer states its length; the rest have none and end with their connections.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"sycamoredeal/platform/platformtest"
	"sycamoredeal/review/_cases2/bed"
)

const (
	machines   = 3
	requests   = 10
	bodyBytes  = 3 << 19
	readBytes  = 32 << 10 // a client's read, once in readPause: 400 KB a second
	readPause  = 80 * time.Millisecond
	deadlineMs = 8000
	resetAfter = 500 * time.Millisecond
	resetShare = 0.55 // of the connections of one machine; the sheet's dose is 0.55 on 0.35 of the machines
)

// statesLength reports whether the server states the length of its answer to a request.
func statesLength(id string) bool { return id[len(id)-1]%2 == 0 }

// server is a plain server that closes each connection after its answer.
func server(b *bed.Bed) net.Listener {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fail("%v", err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				id := req.Header.Get(bed.HeaderRequestID)
				b.Logf("server runs %s", id)
				length := ""
				if statesLength(id) {
					length = fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: i-p0.%s\r\n%sConnection: close\r\n\r\n", id, id, length)
				n, err := c.Write(body(id))
				b.Logf("server has written %d bytes of the answer to %s: %v", n, id, err)
			}()
		}
	}()
	return ln
}

// body returns the answer to a request, in which no part repeats.
func body(id string) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < bodyBytes; i++ {
		fmt.Fprintf(&b, "%s %012d\n", id, i)
	}
	return b.Bytes()[:bodyBytes]
}

// result is what a client saw.
type result struct {
	status   int
	sealed   bool
	complete bool // the body was read to its end without an error
	read     int
	whole    bool // it is the server's whole body
	err      error
}

// call sends a request and reads the answer slowly.
func call(address, id string) (r result) {
	c, err := net.Dial("tcp4", address)
	if err != nil {
		r.err = err
		return r
	}
	defer c.Close()
	c.(*net.TCPConn).SetReadBuffer(readBytes)
	fmt.Fprintf(c, "GET /lookup/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", platformtest.Host, id, deadlineMs)
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 4096), nil)
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.sealed = resp.StatusCode, resp.Header.Get(bed.HeaderSeal) != ""
	var got bytes.Buffer
	for {
		_, err := io.CopyN(&got, resp.Body, readBytes)
		if err != nil {
			r.complete = err == io.EOF
			r.err = err
			break
		}
		time.Sleep(readPause)
	}
	r.read, r.whole = got.Len(), bytes.Equal(got.Bytes(), body(id))
	return r
}

func main() {
	trouble := os.Getenv("TROUBLE") != "0"
	b := bed.New(os.Args[1])
	b.Store.Put("config", "main", platformtest.Config(1, 4, 5))
	p := b.NewProxy(server(b).Addr().String())
	b.Store.Put("servers", "i-p0", map[string]any{"service": platformtest.PlainService, "address": p.Address(), "zone": "z", "version": "v1", "slots": 2 * requests,
		"state": "ready", "cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli()})
	var hosts []*bed.Host
	for i := range machines {
		hosts = append(hosts, b.NewHost(fmt.Sprint("front-", i+1), hosts...))
		b.Run(hosts[i])
	}
	b.WaitReady(hosts...)
	h := hosts[0] // the one machine whose connections are reset takes all requests
	time.Sleep(500 * time.Millisecond)
	var wg sync.WaitGroup
	results := make([]result, requests)
	ids := make([]string, requests)
	for i := range requests {
		ids[i] = platformtest.NextID()
		wg.Go(func() {
			b.Logf("request %s sent", ids[i])
			results[i] = call(h.Front(), ids[i])
		})
	}
	time.Sleep(resetAfter)
	if trouble {
		b.Logf("%d connections to the server are reset", p.Reset(resetShare))
	}
	wg.Wait()
	broken, whole := 0, 0
	for i, r := range results {
		b.Logf("request %s answered: status %d, length stated by the server %v, sealed %v, %d of %d bytes, ended as complete %v, whole %v, %v", ids[i], r.status, statesLength(ids[i]), r.sealed, r.read, bodyBytes, r.complete, r.whole, r.err)
		if r.whole && r.complete {
			whole++
		}
		if r.status == http.StatusOK && r.complete && !r.whole {
			broken++
			fmt.Printf("MIXED is broken: request %s got 200 and a body that ends as complete after %d of %d bytes (length stated by the server: %v)\n", ids[i], r.read, bodyBytes, statesLength(ids[i]))
		}
	}
	fmt.Printf("%d of %d answers whole\n", whole, requests)
	switch {
	case broken > 0:
		b.Exit(bed.Broken)
	case whole == 0 || !trouble && whole < requests:
		b.Fail("%d of %d answers whole", whole, requests)
	}
	b.Exit(bed.Held)
}
