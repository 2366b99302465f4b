// Package lineprinter writes log lines without ever blocking the writer.
//
// # Usage
//
//	out := lineprinter.New(os.Stdout)
//	core := zapcore.NewCore(encoder, out, level)
//	defer out.Stop()
//
// Lines wait in a bounded ring. When it is full, lines are dropped and counted.
package logwriter

import (
	"io"
	"sync"
	"sync/atomic"
)

// ringSize bounds the lines that wait: about 300 KB.
const ringSize = 1024

// Writer is a zapcore.WriteSyncer.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	mutex   sync.RWMutex // guards closed against a write to the closed ring
	closed  bool
	done    chan struct{}
}

// New starts a printer.
func New(out io.Writer) *Writer {
	p := &Writer{out: out, lines: make(chan []byte, ringSize), done: make(chan struct{})}
	go p.run()
	return p
}

func (p *Writer) run() {
	defer close(p.done)
	for line := range p.lines {
		if _, err := p.out.Write(line); err != nil {
			p.dropped.Add(1)
		}
	}
}

// Write queues a line.
func (p *Writer) Write(line []byte) (int, error) {
	p.mutex.RLock()
	defer p.mutex.RUnlock()
	if p.closed {
		p.dropped.Add(1)
		return len(line), nil
	}
	select {
	case p.lines <- append([]byte(nil), line...):
	default:
		p.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: it must not block.
func (p *Writer) Sync() error { return nil }

// TakeDropped returns the number of lines dropped since the last call.
func (p *Writer) TakeDropped() int64 { return p.dropped.Swap(0) }

// Stop writes the lines that wait. Later lines are dropped.
func (p *Writer) Stop() {
	p.mutex.Lock()
	if !p.closed {
		p.closed = true
		close(p.lines)
	}
	p.mutex.Unlock()
	<-p.done
}
