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
	callDeadline    = 6 * time.Second
	maxCallsPerConn = 20                     // calls on one connection before a caller chooses a host again
	maxThinkTime    = 25 * time.Millisecond  // between two calls
	cancelShare     = 0.04                   // share of the calls that are cancelled
	maxCancelDelay  = 150 * time.Millisecond // from the start of a call
	probeInterval   = 40 * time.Millisecond  // between two probes for the version that hosts use
	maxProbedAge    = 2                      // versions before the newest one that are still probed
)

// callTemplate is a call without a request ID. Callers send many requests made from the same template.
type callTemplate struct {
	kind requestKind
	call platformtest.Call
}

func modelCall(kind requestKind, path, model string) callTemplate {
	return callTemplate{kind, platformtest.Call{Path: path + "x", Method: http.MethodPost, Model: model, Deadline: callDeadline, Body: "prompt"}}
}

func plainCall(kind requestKind, path, method, body string) callTemplate {
	return callTemplate{kind, platformtest.Call{Path: path, Method: method, Deadline: callDeadline, Body: body}}
}

var (
	lookup  = plainCall(idempotent, platformtest.LookupPath+"x?y=1", http.MethodGet, "")
	booking = plainCall(onceOnly, platformtest.BookingPath+"x", http.MethodPost, "order")
)

// allCalls returns calls that together need every model, every adapter and every service.
func (f *fleet) allCalls() []callTemplate {
	out := []callTemplate{lookup, booking}
	for m := range models {
		out = append(out, modelCall(stream, platformtest.StreamPath, fmt.Sprint("m", m)))
		for a := range adaptersPerModel {
			out = append(out, modelCall(resumable, platformtest.ResumablePath, fmt.Sprintf("m%d/a%d", m, a+1)))
		}
	}
	return out
}

// drawCall returns a random call.
func drawCall(rng *rand.Rand) callTemplate {
	model := fmt.Sprint("m", rng.IntN(models))
	if rng.IntN(3) == 0 {
		model += fmt.Sprint("/a", 1+rng.IntN(adaptersPerModel))
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

// newRequest assigns an ID to a request and records the request in the audit.
func (f *fleet) newRequest(c callTemplate) string {
	id := platformtest.NextID()
	f.audit.RecordRequest(id, c.kind, c.call)
	return id
}

// call sends a request and has the audit check its outcome.
func (f *fleet) call(ctx context.Context, client *platformtest.Client, c callTemplate) platformtest.Outcome {
	id := f.newRequest(c)
	o := client.DoWithID(ctx, id, c.call)
	f.audit.CheckOutcome(o)
	return o
}

// runCaller sends requests until ctx ends. It reuses a connection for several calls, even when the host is no longer ready.
// keyRng draws the keys, so that a seed's other calls stay as they are.
func (f *fleet) runCaller(ctx context.Context, rng, keyRng *rand.Rand) {
	for ctx.Err() == nil {
		h := f.pickHost(rng)
		client := platformtest.NewClient(h.frontAddr)
		for range 1 + rng.IntN(maxCallsPerConn) {
			c := f.withKey(keyRng, f.withDeadlyPart(rng, drawCall(rng)))
			if rng.Float64() < cancelShare {
				f.callAndCancel(client, c, time.Duration(rng.Int64N(int64(maxCancelDelay))))
			} else if o := f.call(f.ctx, client, c); o.Status == 0 {
				time.Sleep(maxThinkTime)
				break // like a real client, it then chooses a host again
			}
			if ctx.Err() != nil {
				break
			}
			time.Sleep(time.Duration(rng.Int64N(int64(maxThinkTime))))
		}
		client.Close()
	}
}

// callAndCancel sends a request and closes the connection after a delay.
func (f *fleet) callAndCancel(client *platformtest.Client, c callTemplate, delay time.Duration) {
	id := f.newRequest(c)
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	timer := time.AfterFunc(delay, func() {
		f.audit.RecordCancel(id)
		cancel()
	})
	defer timer.Stop()
	f.audit.CheckOutcome(client.DoWithID(ctx, id, c.call))
}

// pickHost returns a random host that is in rotation, or any host if none is.
func (f *fleet) pickHost(rng *rand.Rand) *hostProcess {
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

// runProbe requests the routes of single configuration versions from random hosts until ctx ends.
func (f *fleet) runProbe(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		h := f.pickHost(rng)
		version := max(f.audit.NewestVersion()-rng.IntN(maxProbedAge+1), 1)
		_, process := h.process()
		c := f.withLastingKey(plainCall(idempotent, versionPath(version), http.MethodGet, ""))
		id := f.newRequest(c)
		client := platformtest.NewClient(h.frontAddr)
		o := client.DoWithID(f.ctx, id, c.call)
		client.Close()
		if _, after := h.process(); after == process {
			f.audit.CheckProbe(process, version, o)
		}
		time.Sleep(probeInterval)
	}
}

// startLoad starts n callers and the probe, and returns a function that stops them.
func (f *fleet) startLoad(n int, seed uint64) (stop func()) {
	ctx, cancel := context.WithCancel(f.ctx)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			f.runCaller(ctx, rand.New(rand.NewPCG(seed, uint64(i)+1)), rand.New(rand.NewPCG(seed, accountStream+uint64(i)+1)))
		})
	}
	wg.Go(func() { f.runProbe(ctx, rand.New(rand.NewPCG(seed, 0))) })
	return func() {
		cancel()
		wg.Wait()
	}
}
