package host

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sycamoredeal/internal/testbed"
)

const malformedBody = "id: 1\ndata: broken\n\n"

// malformedAnswers returns answers with a malformed head by name. In each, %s stands for the id of the request.
func malformedAnswers() map[string]string {
	const fields = "X-Seal: s\r\nX-Id: %s"
	answers := map[string]string{
		"status 000 without a body":   testbed.Sized("HTTP/1.1 000 Unknown\r\n"+fields, ""),
		"status 000 before an answer": "HTTP/1.1 000 Unknown\r\n\r\n" + testbed.Sized("HTTP/1.1 200 OK\r\n"+fields, malformedBody),
		"interim answer with a blank": "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n" + testbed.Sized("HTTP/1.1 200 OK\r\n"+fields, malformedBody),
		"status 000 of a refusal":     testbed.Sized("HTTP/1.1 000 Unknown\r\nX-Not-Run: 1\r\nX-Id: %s", ""),
	}
	for _, head := range testbed.MalformedHeads() {
		answers[head] = testbed.Sized(head+"\r\n"+fields, malformedBody)
	}
	for _, f := range testbed.MalformedFields {
		refusal := "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Id: %s\r\n"
		answers["refusal with "+f] = testbed.Sized(refusal+f, "")
		answers["error with "+f] = testbed.Sized("HTTP/1.1 500 Internal Server Error\r\n"+fields+"\r\n"+f, "broken")
	}
	for _, f := range testbed.FoldedFields {
		answers["success with "+f] = testbed.Sized("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n"+f, malformedBody)
		answers["refusal with "+f] = testbed.Sized("HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\n"+f, "")
	}
	const chunks = "14\r\n" + malformedBody + "\r\n0\r\n\r\n"
	answers["chunks with a blank before the colon"] = "HTTP/1.1 200 OK\r\n" + fields + "\r\nTransfer-Encoding : chunked\r\n\r\n" + chunks
	answers["length with a blank before the colon"] = "HTTP/1.1 200 OK\r\n" + fields + "\r\nContent-Length : 20\r\n\r\n" + malformedBody
	return answers
}

// TestMalformedHead guards against a malformed head that reaches the caller as an answer, that is waited out until the deadline, or
// that counts as a proof that the request has not run. The answer comes first on its connection, on a kept one, or after an interim
// answer.
func TestMalformedHead(t *testing.T) {
	const deadline, soon = 2 * time.Second, time.Second
	befores := map[string]string{"first": "", "kept": "", "interim": "HTTP/1.1 103 Early Hints\r\nX-Hint: h\r\n\r\n"}
	for name, format := range malformedAnswers() {
		for position, before := range befores {
			for _, path := range []string{nonIdempotentRoute, idempotentRoute, streamRoute, resumeRoute} {
				t.Run(name+"/"+position+path, func(t *testing.T) {
					t.Parallel()
					s := newScriptedServer(t, func(_ int64, id string, w io.Writer) bool {
						if id == "sound" {
							io.WriteString(w, wholeAnswer(id, "id: 1\ndata: x\n\n"))
							return true
						}
						fmt.Fprintf(w, before+format, id)
						time.Sleep(deadline) // the connection stays open
						return false
					})
					_, url := newScriptedHost(t, s)
					if position == "kept" {
						if g := sendRequest(url, path, "sound", deadline); g.status != http.StatusOK {
							t.Fatalf("status %d of a sound answer", g.status)
						}
						s.requests.Store(0)
					}
					g := sendRequest(url, path, "r", deadline)
					if g.status != http.StatusBadGateway || strings.Contains(g.body, "broken") || g.elapsed > soon {
						t.Errorf("status %d, body %q after %v, want 502 at once", g.status, g.body, g.elapsed)
					}
					if n := s.requests.Load(); n != 1 {
						t.Errorf("sent %d times", n)
					}
				})
			}
		}
	}
}

// TestMalformedHeadIsRepeated guards against a malformed head as the final answer to a request that may run again: a sound endpoint
// has to answer it.
func TestMalformedHeadIsRepeated(t *testing.T) {
	for name, format := range malformedAnswers() {
		for _, path := range []string{idempotentRoute, resumeRoute} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				var first atomic.Bool
				answer := func(_ int64, id string, w io.Writer) bool {
					if first.CompareAndSwap(false, true) {
						fmt.Fprintf(w, format, id)
						return false
					}
					io.WriteString(w, wholeAnswer(id, "id: 1\ndata: x\n\n"))
					return true
				}
				_, url := newScriptedHost(t, newScriptedServer(t, answer), newScriptedServer(t, answer))
				if g := sendRequest(url, path, "r", 2*time.Second); g.status != http.StatusOK || !g.whole || g.body != "id: 1\ndata: x\n\n" {
					t.Errorf("status %d, whole %v, body %q", g.status, g.whole, g.body)
				}
			})
		}
	}
}

// TestUnusualHeadsArrive guards against sound answers that are rejected for an unusual head. They have to arrive unchanged.
func TestUnusualHeadsArrive(t *testing.T) {
	const body = "id: 1\ndata: x\n\n"
	const names = "X-Seal: s\r\n!#$%&'*+-.^_`|~09aZ: v\r\nX-Empty:\r\nX-Text: \ta\tb \xe4\r\n"
	for name, head := range map[string]string{
		"no reason":          "HTTP/1.1 200\r\n" + names,
		"empty reason":       "HTTP/1.1 200 \r\n" + names,
		"created":            "HTTP/1.1 201 Created\r\n" + names,
		"interim answers":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Hint: h\r\n\r\nHTTP/1.1 199 None\r\n\r\nHTTP/1.1 200 OK\r\n" + names,
		"not found":          "HTTP/1.1 404 Not Found\r\n" + names,
		"unknown 4xx":        "HTTP/1.1 499 Unknown\r\n" + names,
		"server error":       "HTTP/1.1 500 Internal Server Error\r\n" + names,
		"unknown 5xx":        "HTTP/1.1 599 Unknown\r\n" + names,
		"redirect":           "HTTP/1.1 302 Found\r\nLocation: /x\r\n" + names,
		"lines without CR":   strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+names, "\r\n", "\n"),
		"protocol of HTTP/1": "HTTP/1.0 200 OK\r\n" + names,
	} {
		for _, path := range []string{nonIdempotentRoute, idempotentRoute, streamRoute, resumeRoute} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				s := newScriptedServer(t, func(_ int64, id string, w io.Writer) bool {
					fmt.Fprintf(w, "%sX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", head, id, len(body), body)
					return true
				})
				_, url := newScriptedHost(t, s)
				status, gotBody, gotHead := rawAnswer(t, url, path)
				final := head[strings.LastIndex(head, "HTTP/1."):]
				if want := final[len("HTTP/1.1 "):][:3]; status != want || gotBody != body {
					t.Errorf("status %s, body %q, want status %s", status, gotBody, want)
				}
				for _, line := range []string{"!#$%&'*+-.^_`|~09aZ: v\r\n", "X-Empty: \r\n", "X-Text: a\tb \xe4\r\n"} {
					if !strings.Contains(strings.ToLower(gotHead), strings.ToLower(line)) {
						t.Errorf("%q is missing in the head %q", line, gotHead)
					}
				}
			})
		}
	}
}

// rawAnswer sends a request on a connection of its own, and returns the answer as its bytes show it.
func rawAnswer(t *testing.T, url, path string) (status, body, head string) {
	t.Helper()
	c, err := net.Dial("tcp4", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Id: r\r\nConnection: close\r\n\r\n", path, strings.TrimPrefix(url, "http://"))
	raw, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	head, _, _ = strings.Cut(string(raw), "\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(raw))), nil)
	if err != nil {
		t.Fatalf("%q: %v", raw, err)
	}
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("%q: %v", raw, err)
	}
	return head[len("HTTP/1.1 "):][:3], string(content), head + "\r\n"
}
