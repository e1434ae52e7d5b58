package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sycamoredeal/internal/config"
	"sycamoredeal/internal/routing"
	"sycamoredeal/internal/wire"
)

// inTurn is a binder that binds each request to the next resident endpoint.
type inTurn struct {
	view func() *routing.View
	next atomic.Uint64
}

func (r *inTurn) Bind(_ context.Context, ask wire.Ask) (routing.Binding, error) {
	res := r.view().Residents(ask.Model)
	if len(res) == 0 {
		return nil, &routing.Refusal{Reason: routing.ErrNoResident.Error(), RetryAfterMs: 1000}
	}
	return boundTo(res[r.next.Add(1)%uint64(len(res))]), nil
}

// boundTo is a binding to the endpoint of that name.
type boundTo string

func (b boundTo) Endpoint() string         { return string(b) }
func (boundTo) Preempted() <-chan struct{} { return nil }
func (boundTo) Release(wire.Done)          {}

// place makes an entry know that endpoint e1 of its cell holds m1.
func place(b *bed) {
	v := *b.e.view.Load()
	v.Placement = &wire.Placement{Endpoints: []wire.EndpointPlacement{{Endpoint: "e1", Residents: []wire.Resident{{Name: "m1"}}}}}
	b.e.view.Store(&v)
}

// forwarding returns an entry whose cell does not serve m1, while the given addresses of other cells do.
func forwarding(t *testing.T, addrs ...string) *bed {
	b := newBed(t, Options{IdleTimeout: 300 * time.Millisecond}, nil, config.Declarations{})
	b.e.binder = &inTurn{view: b.e.view.Load}
	var members []wire.Member
	for i, a := range addrs {
		members = append(members, wire.Member{Host: fmt.Sprint("r", i), CallerAddress: strings.TrimPrefix(a, "http://")})
	}
	v := *b.e.view.Load()
	v.Remote = remoteHosts(&wire.DirectoryUpdate{Models: []wire.ModelCells{{Model: "m1", Cells: []string{"c2"}}}, Cells: []wire.CellMembers{{Cell: "c2", Members: members}}})
	b.e.view.Store(&v)
	return b
}

// TestForwardResumes guards against a forwarded answer that is cut, doubled or changed when the other entry fails in
// the middle, is dead or does not serve the model.
func TestForwardResumes(t *testing.T) {
	engine := newEngine(t, "", 0)
	engine.bodies, engine.lastIDs = make(chan map[string]any, 1000), make(chan string, 1000)
	serving := newBed(t, Options{}, nil, engines(engine))
	serving.e.binder = &inTurn{view: serving.e.view.Load}
	place(serving)
	for _, fault := range []string{"", "cut", "freeze", "cut before end", "status 503", "dead", "not here"} {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprint(fault, " stream ", stream), func(t *testing.T) {
				addrs := []string{serving.addr}
				var bad *fakeEngine
				switch fault {
				case "":
				case "dead":
					addrs = append(addrs, "http://127.0.0.1:1")
				case "not here":
					addrs = append(addrs, newBed(t, Options{}, newScript("e1"), config.Declarations{}).addr)
				default:
					bad = newEngine(t, fault, 0)
					addrs = append(addrs, bad.URL)
				}
				b := forwarding(t, addrs...)
				for i := range 12 { // the first entry is chosen by the request id
					resp := b.do("POST", "/v1/chat/completions", completionOf(stream), "X-Rank", "batch", "X-Request-Id", strings.Repeat("x", 100+i))
					if got, whole := text(t, resp, stream); got != wantText || !whole {
						t.Fatalf("got %q, whole %v", got, whole)
					}
				}
				if bad != nil && bad.requests.Load() == 0 {
					t.Error("the failing entry was never asked")
				}
			})
		}
	}
}

// TestForwardRefusals guards against forwarding in a loop, and against refusals that lose their status, their proof
// that nothing was executed or their Retry-After on the way.
func TestForwardRefusals(t *testing.T) {
	full := newScript("e1")
	full.refusal = &routing.Refusal{Reason: "queue is full", RetryAfterMs: 7000}
	refusing := newBed(t, Options{}, full, config.Declarations{Endpoints: []config.Endpoint{{Name: "e1", Address: "127.0.0.1:1"}}})
	place(refusing)
	resp := forwarding(t, refusing.addr).do("POST", "/v1/chat/completions", completionOf(true))
	if p := readProblem(t, resp); p.Status != http.StatusServiceUnavailable || p.Executed != "no" || p.Detail != "queue is full" || resp.Header.Get("Retry-After") != "7" {
		t.Errorf("%+v, Retry-After %q", p, resp.Header.Get("Retry-After"))
	}

	failing := newEngine(t, "status 500", 0)
	if p := readProblem(t, forwarding(t, failing.URL).do("POST", "/v1/chat/completions", completionOf(true))); p.Executed != "unknown" {
		t.Errorf("an attempt with unknown outcome is reported as %+v", p)
	}
	if p := readProblem(t, forwarding(t, "127.0.0.1:1").do("POST", "/v1/chat/completions", completionOf(true))); p.Executed != "no" {
		t.Errorf("a request that was sent nowhere is reported as %+v", p)
	}

	engine := newEngine(t, "", 0)
	p := readProblem(t, forwarding(t, engine.URL).do("POST", "/v1/chat/completions", completionOf(true), forwardedHeader, "5"))
	if p.Status != notHere || p.Executed != "no" || engine.requests.Load() != 0 {
		t.Errorf("a second hop: %+v, %d requests", p, engine.requests.Load())
	}

	wrong := forwarding(t, refusing.addr)
	if resp := wrong.do("POST", "/v1/chat/completions", completionOf(true), "Authorization", "Bearer wrong"); resp.StatusCode != http.StatusUnauthorized {
		t.Errorf("status %d for an unknown key", resp.StatusCode)
	}
}
