// Package logwriter writes log lines asynchronously, so that a slow output never blocks the goroutine that logs.
//
// # Usage
//
//	out := logwriter.New(os.Stdout)
//	core := zapcore.NewCore(encoder, out, level)
//	defer out.Stop()
//
// Lines are queued in a bounded buffer. When it is full, new lines are dropped and counted.
package logwriter

import (
	"io"
	"sync"
	"sync/atomic"
)

// queueSize is the number of queued lines: about 300 KB.
const queueSize = 1024

// Writer is a zapcore.WriteSyncer. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	mutex   sync.RWMutex // guards closed, so that Write never sends on the closed channel
	closed  bool
	done    chan struct{}
}

// New returns a writer and starts its goroutine, which runs until Stop.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueSize), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1)
		}
	}
}

// Write queues a copy of line, or drops it if the queue is full or Stop was called. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.RLock()
	defer w.mutex.RUnlock()
	if w.closed {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing, because waiting for the output would block the caller.
func (w *Writer) Sync() error { return nil }

// TakeDropped returns the number of lines dropped since the last call, including those whose write failed.
func (w *Writer) TakeDropped() int64 { return w.dropped.Swap(0) }

// Stop returns when the queued lines have been written. Later lines are dropped.
func (w *Writer) Stop() {
	w.mutex.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mutex.Unlock()
	<-w.done
}
