// Package logsink writes log lines asynchronously, so that logging never blocks.
package logsink

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
)

// Sink queues lines and writes them to its output in the background. It drops and
// counts lines while the queue is full: a stalled reader of the log must not block
// requests, and memory must stay bounded.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// maxQueuedLines is the capacity of the queue; further lines are dropped. With lines of
// some 400 bytes, a full queue takes less than a megabyte.
const maxQueuedLines = 2048

// New returns a sink that writes to out until it is closed.
func New(out io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go s.run(out)
	return s
}

func (s *Sink) run(out io.Writer) {
	defer close(s.done)
	for line := range s.lines {
		// A write error can't be reported anywhere else.
		_, _ = out.Write(line)
	}
}

// Write queues a copy of one line. It never fails and never blocks.
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

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close waits until all queued lines are written. Write must not be called after it.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.lines) })
	<-s.done
}
