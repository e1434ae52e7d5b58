package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sycamoredeal/platform/platformtest"
)

const (
	callDeadline = 6 * time.Second
	mostCalls    = 20                    // on one connection, before a caller turns to another host
	thinkTime    = 25 * time.Millisecond // at most, between calls
	leaveShare   = 0.04                  // of the calls are given up
	leaveWithin  = 150 * time.Millisecond
	probePause   = 40 * time.Millisecond // between requests that show the version in force
	probeBack    = 2                     // versions before the newest one that are asked for
)

// call is a request that a caller makes.
type call struct {
	kind requestKind
	call platformtest.Call
}

func modelCall(kind requestKind, path, model string) call {
	return call{kind, platformtest.Call{Path: path + "x", Method: http.MethodPost, Model: model, Deadline: callDeadline, Body: "prompt"}}
}

func plainCall(kind requestKind, path, method, body string) call {
	return call{kind, platformtest.Call{Path: path, Method: method, Deadline: callDeadline, Body: body}}
}

var (
	lookup  = plainCall(plain, platformtest.LookupPath+"x?y=1", http.MethodGet, "")
	booking = plainCall(once, platformtest.BookingPath+"x", http.MethodPost, "order")
)

// everything returns calls that need every model, every adapter and every service.
func (f *fleet) everything() []call {
	out := []call{lookup, booking}
	for m := range models {
		out = append(out, modelCall(stream, platformtest.StreamPath, fmt.Sprint("m", m)))
		for a := range adapters {
			out = append(out, modelCall(resumable, platformtest.ResumablePath, fmt.Sprintf("m%d/a%d", m, a+1)))
		}
	}
	return out
}

func drawCall(rng *rand.Rand) call {
	model := fmt.Sprint("m", rng.IntN(models))
	if rng.IntN(3) == 0 {
		model += fmt.Sprint("/a", 1+rng.IntN(adapters))
	}
	switch rng.IntN(6) {
	case 0:
		return lookup
	case 1, 2:
		return booking
	case 3:
		return modelCall(resumable, platformtest.ResumablePath, model)
	}
	return modelCall(stream, platformtest.StreamPath, model)
}

// asked takes an id for a request and tells the audit of it.
func (f *fleet) asked(c call) string {
	id := platformtest.NextID()
	f.audit.Asked(id, c.kind, c.call)
	return id
}

// call makes a request and has its answer checked.
func (f *fleet) call(ctx context.Context, client *platformtest.Client, c call) platformtest.Outcome {
	id := f.asked(c)
	o := client.DoWithID(ctx, id, c.call)
	f.audit.Answered(o)
	return o
}

// caller sends requests until ctx ends. It keeps a connection for some calls, also when the host is no longer ready.
func (f *fleet) caller(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		h := f.inRotation(rng)
		client := platformtest.NewClient(h.front)
		for range 1 + rng.IntN(mostCalls) {
			c := drawCall(rng)
			if rng.Float64() < leaveShare {
				f.leave(client, c, time.Duration(rng.Int64N(int64(leaveWithin))))
			} else if o := f.call(f.ctx, client, c); o.Status == 0 {
				time.Sleep(thinkTime)
				break // as a client does, it turns to another host
			}
			if ctx.Err() != nil {
				break
			}
			time.Sleep(time.Duration(rng.Int64N(int64(thinkTime))))
		}
		client.Close()
	}
}

// leave makes a request and closes the connection after a time.
func (f *fleet) leave(client *platformtest.Client, c call, after time.Duration) {
	id := f.asked(c)
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	t := time.AfterFunc(after, func() {
		f.audit.Left(id)
		cancel()
	})
	defer t.Stop()
	f.audit.Answered(client.DoWithID(ctx, id, c.call))
}

// inRotation returns a host that takes new connections; any host if none does.
func (f *fleet) inRotation(rng *rand.Rand) *hostProcess {
	var ready []*hostProcess
	for _, h := range f.hosts {
		if h.inRotation() {
			ready = append(ready, h)
		}
	}
	if len(ready) == 0 {
		ready = f.hosts
	}
	return ready[rng.IntN(len(ready))]
}

// probe asks hosts for the routes of single versions until ctx ends.
func (f *fleet) probe(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		h := f.inRotation(rng)
		version := max(f.audit.Newest()-rng.IntN(probeBack+1), 1)
		_, process := h.process()
		c := plainCall(plain, versionPath(version), http.MethodGet, "")
		id := f.asked(c)
		client := platformtest.NewClient(h.front)
		o := client.DoWithID(f.ctx, id, c.call)
		client.Close()
		if _, after := h.process(); after == process {
			f.audit.Probed(process, version, o)
		}
		time.Sleep(probePause)
	}
}

// load starts callers and returns a function that ends them.
func (f *fleet) load(n int, seed uint64) (stop func()) {
	ctx, cancel := context.WithCancel(f.ctx)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { f.caller(ctx, rand.New(rand.NewPCG(seed, uint64(i)+1))) })
	}
	wg.Go(func() { f.probe(ctx, rand.New(rand.NewPCG(seed, 0))) })
	return func() {
		cancel()
		wg.Wait()
	}
}
