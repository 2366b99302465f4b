package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file.
type Record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Line writes one line with the time since the start of the record.
func (r *Record) Line(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// Print writes one line to the record and to the standard output.
func (r *Record) Print(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// Since returns the time of a moment in the record.
func (r *Record) Since(at time.Time) float64 { return at.Sub(r.began).Seconds() }

// Close ends the record.
func (r *Record) Close() { _ = r.file.Close() }
