// Package logsink writes log lines without ever making their writers wait.
package logsink

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

// Sink is a writer whose Write only queues. Lines that find the queue full
// are dropped and counted: a reader of the log that stalls must not stall
// requests, and memory must stay bounded.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// queued bounds the lines that wait; at some 400 bytes a line this is under
// a megabyte.
const maxQueuedLines = 2048

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go s.run(out)
	return s
}

func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	for line := range s.lines {
		// There is nowhere to report that the log cannot be written.
		_, _ = out.Write(line)
	}
}

// Write queues one line.
func (s *Sink) Write(p []byte) (int, error) {
	select {
	case s.lines <- bytes.Clone(p):
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *Sink) Sync() error { return nil }

// Dropped returns how many lines were dropped so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes out what is queued. Nothing may be written after it.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.lines) })
	<-s.done
}
