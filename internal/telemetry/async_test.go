package telemetry

import (
	"bytes"
	"sync"
	"testing"
	"time"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

// TestBlockedOutput guards against requests that wait for a log whose output is blocked, and against a queue of log lines
// that grows without limit.
func TestBlockedOutput(t *testing.T) {
	b := &blockedWriter{release: make(chan struct{})}
	log, flush := NewAsyncLogger(b, "info", "test")
	start := time.Now()
	for range 5 * asyncQueueLines {
		log.Info().Msg("A line.")
	}
	if d := time.Since(start); d > 2*time.Second {
		t.Errorf("%d lines took %v with a blocked output", 5*asyncQueueLines, d)
	}
	close(b.release)
	flush()
	if n := bytes.Count(b.out.Bytes(), []byte("\n")); n == 0 || n > 2*asyncQueueLines {
		t.Errorf("%d lines written after the output was released", n)
	}
}

// TestLogAfterFlush guards against a panic that cuts off requests which write a log line after the log was closed at the
// end of the process.
func TestLogAfterFlush(t *testing.T) {
	log, flush := NewAsyncLogger(&bytes.Buffer{}, "info", "test")
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 1000 {
				log.Info().Msg("A line.")
			}
		})
	}
	flush()
	wg.Wait()
	log.Info().Msg("A late line.")
}
