// Command earlyanswer has a server begin the answers to long requests before it reads their bodies, and read on later. Just before,
// the settings of the host that takes the requests are reloaded (SIGHUP), which is planned work. It checks that the answers reach
// their clients whole.
package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"sycamoredeal/platform/platformtest"
	"sycamoredeal/review/_cases2/bed"
)

const (
	requests  = 8
	bodyBytes = 512 << 10
	events    = 25
	eventGap  = 200 * time.Millisecond
	machines  = 4 // one of which gets SIGHUP: the dose is 0.3 of the machines
)

// server is a model server that answers with a stream. If early is true, it begins the answer before it reads the body, and reads on
// after the last event.
func server(b *bed.Bed, early bool) net.Listener {
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
			c.(*net.TCPConn).SetReadBuffer(64 << 10)
			go serve(b, c, early)
		}
	}()
	return ln
}

func serve(b *bed.Bed, c net.Conn, early bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get(bed.HeaderRequestID)
		if req.URL.Path == "/report" || id == "" {
			body := `{"stage":"both","models":[{"name":"m0","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv_used":0,"kv_total":100000,"handles":0}`
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			continue
		}
		late := early && req.ContentLength == bodyBytes // reads the rest of the body after its answer
		if !late {
			n, err := io.Copy(io.Discard, req.Body)
			b.Logf("server has read %d bytes of the body of %s: %v", n, id, err)
		}
		b.Logf("server answers %s", id)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: i-e0.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
		for i := 1; i <= events; i++ {
			e := fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
				b.Logf("server can't write event %d of %s: %v", i, id, err)
				return
			}
			time.Sleep(eventGap)
		}
		_, err = io.WriteString(c, "0\r\n\r\n")
		b.Logf("server has written the answer to %s: %v", id, err)
		if late {
			n, err := io.Copy(io.Discard, req.Body)
			b.Logf("server has read %d bytes of the body of %s: %v", n, id, err)
			if err != nil {
				return
			}
		}
	}
}

func main() {
	trouble := os.Getenv("TROUBLE") != "0"
	b := bed.New(os.Args[1])
	b.Store.Put("config", "main", func() any {
		c := platformtest.Config(1, 1, 0)
		c["limits"] = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
		return c
	}())
	ln := server(b, trouble)
	b.Store.Put("servers", "i-e0", map[string]any{"service": platformtest.EngineService, "address": ln.Addr().String(), "zone": "z", "version": "v1", "slots": 16,
		"state": "ready", "cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(), "stage": "both", "models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []string{}}}})
	var hosts []*bed.Host
	for i := range machines {
		hosts = append(hosts, b.NewHost(fmt.Sprint("front-", i+1), hosts...))
		b.Run(hosts[i])
	}
	b.WaitReady(hosts...)
	time.Sleep(4 * time.Second) // more than stable_ms
	var wg, ready sync.WaitGroup
	reloaded := make(chan struct{})
	var mu sync.Mutex
	whole, cut := 0, 0
	body := string(bytes.Repeat([]byte("p"), bodyBytes))
	ready.Add(requests)
	for i := range requests {
		wg.Go(func() {
			c := platformtest.NewClient(hosts[0].Front())
			defer c.Close()
			first := c.Do(context.Background(), bed.Chat("m0", 7*time.Second)) // so that the connection is a kept one
			b.Logf("request %s answered: status %d, whole %v", first.ID, first.Status, first.BodyComplete)
			ready.Done()
			<-reloaded
			time.Sleep(time.Duration(i) * 230 * time.Millisecond)
			call := bed.Chat("m0", 7*time.Second)
			call.Body = body
			id := platformtest.NextID()
			b.Logf("request %s sent to %s", id, hosts[0].Name)
			o := c.DoWithID(context.Background(), id, call)
			b.Logf("request %s answered: status %d, whole %v, %d of %d events, after %d ms", id, o.Status, o.BodyComplete, len(o.EventIDs()), events, o.Duration.Milliseconds())
			mu.Lock()
			defer mu.Unlock()
			switch {
			case o.Status == http.StatusOK && o.BodyComplete && len(o.EventIDs()) == events:
				whole++
			case o.RequestSent && !o.BodyComplete:
				cut++
			}
		})
	}
	ready.Wait()
	b.Logf("%s gets SIGHUP", hosts[0].Name)
	b.Signal(hosts[0], syscall.SIGHUP)
	close(reloaded)
	wg.Wait()
	fmt.Printf("%d requests, %d whole, %d connections ended in the answer\n", requests, whole, cut)
	switch {
	case cut > 3:
		fmt.Println("LOST is broken")
		b.Exit(bed.Broken)
	case whole == 0:
		b.Fail("no answer was whole")
	}
	b.Exit(bed.Held)
}
