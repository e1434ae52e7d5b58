package host

import (
	"net/http"
	"testing"
	"time"
)

// discardingWriter is a ResponseWriter that takes everything at once.
type discardingWriter struct{ header http.Header }

func (w *discardingWriter) Header() http.Header              { return w.header }
func (w *discardingWriter) WriteHeader(int)                  {}
func (w *discardingWriter) Write(p []byte) (int, error)      { return len(p), nil }
func (w *discardingWriter) FlushError() error                { return nil }
func (w *discardingWriter) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkEventWrite measures the host's own work to pass one event on, without a socket.
func BenchmarkEventWrite(b *testing.B) {
	x := &exchange{w: &discardingWriter{http.Header{}}, stream: &streamRelay{headerSent: true}}
	event := []byte("id: 7\ndata: some words of an answer\n\n")
	b.ReportAllocs()
	for b.Loop() {
		if err := x.writeEvent(nil, event); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkGuardedEventWrite is BenchmarkEventWrite with the writes that end with the request.
func BenchmarkGuardedEventWrite(b *testing.B) {
	x := newGuardedExchange(&discardingWriter{http.Header{}})
	x.stream = &streamRelay{headerSent: true}
	defer x.guardWrites(b.Context())()
	event := []byte("id: 7\ndata: some words of an answer\n\n")
	b.ReportAllocs()
	for b.Loop() {
		if err := x.writeEvent(nil, event); err != nil {
			b.Fatal(err)
		}
	}
}
