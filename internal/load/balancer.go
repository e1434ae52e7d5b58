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
	readinessInterval = 200 * time.Millisecond
	readinessTimeout  = 500 * time.Millisecond
)

// balancer stands for the load balancer in front of the entries: it distributes requests round-robin over the entries
// whose readiness check passes.
type balancer struct {
	entries   []string
	mu        sync.Mutex
	ready     []string // entries whose last readiness check passed
	nextIndex atomic.Uint64
	client    *http.Client
}

func newBalancer(entries []string) *balancer {
	return &balancer{entries: entries, client: &http.Client{Timeout: readinessTimeout}}
}

// run checks the readiness of the entries every readinessInterval until ctx is done.
func (b *balancer) run(ctx context.Context) {
	t := time.NewTicker(readinessInterval)
	defer t.Stop()
	for {
		b.checkReadiness(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// checkReadiness checks all entries in parallel and stores which of them are ready.
func (b *balancer) checkReadiness(ctx context.Context) {
	passed := make([]bool, len(b.entries))
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
				passed[i] = resp.StatusCode == http.StatusOK
			}
		})
	}
	wg.Wait()
	var ready []string
	for i, addr := range b.entries {
		if passed[i] {
			ready = append(ready, addr)
		}
	}
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
}

// pick returns the address of the next ready entry, or of the next entry of all if none is ready.
func (b *balancer) pick() string {
	b.mu.Lock()
	candidates := b.ready
	b.mu.Unlock()
	if len(candidates) == 0 {
		candidates = b.entries
	}
	return candidates[b.nextIndex.Add(1)%uint64(len(candidates))]
}

// send sends a request to the next entry, and tries further entries as long as no connection can be established. Other
// errors are returned without another attempt, because the entry may have received the request.
func (b *balancer) send(client *http.Client, newRequest func(addr string) (*http.Request, error)) (*http.Response, error) {
	var lastErr error
	for range len(b.entries) + 1 {
		req, err := newRequest(b.pick())
		if err != nil {
			return nil, err
		}
		resp, err := client.Do(req)
		if err == nil {
			return resp, nil
		}
		lastErr = err
		var opErr *net.OpError
		if !errors.As(err, &opErr) || opErr.Op != "dial" {
			return nil, err
		}
	}
	return nil, lastErr
}
