// Package telemetry provides the logs, the metrics and the decision journal of the project's processes.
package telemetry

import (
	"io"
	"sync"

	"github.com/phuslu/log"
)

// Logger writes structured log lines that contain the name of one part of a process.
type Logger struct {
	logger *log.Logger
	part   string
}

// NewLogger returns a logger that writes JSON lines of the given level ("debug", "info", "warn", "error") and above to w.
func NewLogger(w io.Writer, level, part string) Logger {
	logger := &log.Logger{Level: log.ParseLevel(level), TimeFormat: "2006-01-02T15:04:05.000Z07:00", Writer: &log.IOWriter{Writer: w}}
	return Logger{logger: logger, part: part}
}

// Discard returns a logger that writes nothing.
func Discard() Logger { return NewLogger(io.Discard, "fatal", "") }

// Part returns a logger with the same output for another part of the process.
func (g Logger) Part(part string) Logger { return Logger{logger: g.logger, part: part} }

// Debug starts a line at debug level.
func (g Logger) Debug() *log.Entry { return g.logger.Debug().Str("part", g.part) }

// Info starts a line at info level.
func (g Logger) Info() *log.Entry { return g.logger.Info().Str("part", g.part) }

// Warn starts a line at warn level.
func (g Logger) Warn() *log.Entry { return g.logger.Warn().Str("part", g.part) }

// Error starts a line at error level.
func (g Logger) Error() *log.Entry { return g.logger.Error().Str("part", g.part) }

// asyncQueueLines is the maximum number of log lines that wait for a slow output. Further lines are dropped, so that a
// process never waits for its log.
const asyncQueueLines = 2048

// NewAsyncLogger is like NewLogger, but the logger writes on a separate goroutine and drops lines while its queue is full.
// The returned function writes the queued lines and closes the logger, which drops all later lines.
func NewAsyncLogger(w io.Writer, level, part string) (Logger, func()) {
	writer := &asyncWriter{writer: &log.AsyncWriter{Writer: log.IOWriter{Writer: w}, ChannelSize: asyncQueueLines, DiscardOnFull: true}}
	logger := &log.Logger{Level: log.ParseLevel(level), TimeFormat: "2006-01-02T15:04:05.000Z07:00", Writer: writer}
	return Logger{logger: logger, part: part}, writer.close
}

// asyncWriter wraps the library's asynchronous writer, which panics if a line is written after it was closed. An asyncWriter
// drops such lines.
type asyncWriter struct {
	mu     sync.RWMutex
	closed bool
	writer *log.AsyncWriter
}

// WriteEntry implements log.Writer.
func (a *asyncWriter) WriteEntry(e *log.Entry) (int, error) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.closed {
		return 0, nil
	}
	return a.writer.WriteEntry(e)
}

// close writes the queued lines and closes the writer.
func (a *asyncWriter) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed {
		a.closed = true
		a.writer.Close()
	}
}
