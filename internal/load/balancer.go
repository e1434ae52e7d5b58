package load

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	healthInterval = 200 * time.Millisecond
	healthTimeout  = 500 * time.Millisecond
)

// balancer plays the load balancer in front of the entries: it sends to those whose readiness check passes, in turn.
type balancer struct {
	entries []string
	mu      sync.Mutex
	ready   []string
	next    atomic.Uint64
	client  *http.Client
}

func newBalancer(entries []string) *balancer {
	return &balancer{entries: entries, client: &http.Client{Timeout: healthTimeout}}
}

// run checks the entries until ctx ends.
func (b *balancer) run(ctx context.Context) {
	t := time.NewTicker(healthInterval)
	defer t.Stop()
	for {
		b.check(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *balancer) check(ctx context.Context) {
	ok := make([]bool, len(b.entries))
	var wg sync.WaitGroup
	for i, addr := range b.entries {
		wg.Go(func() {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
			if err != nil {
				return
			}
			resp, err := b.client.Do(req)
			if err == nil {
				resp.Body.Close()
				ok[i] = resp.StatusCode == http.StatusOK
			}
		})
	}
	wg.Wait()
	var ready []string
	for i, addr := range b.entries {
		if ok[i] {
			ready = append(ready, addr)
		}
	}
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
}

// pick returns the next ready entry, or any entry if none is ready.
func (b *balancer) pick() string {
	b.mu.Lock()
	list := b.ready
	b.mu.Unlock()
	if len(list) == 0 {
		list = b.entries
	}
	return list[b.next.Add(1)%uint64(len(list))]
}

// do sends a request to ready entries until one accepts the connection. A request that reached an entry is not repeated.
func (b *balancer) do(client *http.Client, build func(addr string) (*http.Request, error)) (*http.Response, error) {
	var last error
	for range len(b.entries) + 1 {
		req, err := build(b.pick())
		if err != nil {
			return nil, err
		}
		resp, err := client.Do(req)
		if err == nil {
			return resp, nil
		}
		last = err
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			return nil, err
		}
	}
	return nil, last
}
