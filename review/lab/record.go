// Package lab runs hosts of the router as processes and stands in for callers, upstreams and the platform's store.
//
// All addresses are loopback addresses. A Lab writes what was sent, answered and run to the record of its case.
//
// # Usage
//
//	l := lab.New("record.txt")
//	defer l.Close()
//	l.StartStore(config)
//	l.StartUpstream(lab.UpstreamOptions{ID: "u1", Service: "plain"})
//	host := l.StartHost("host-1", "zone-a")
//	host.AwaitReady(10 * time.Second)
//	answer := lab.Send(host.Callers, lab.Request{...})
package lab

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0 // the rule was kept
	ExitBroken = 1
	ExitFailed = 2 // the case could not run
)

// Record is the log of a case. It is safe for concurrent use.
type Record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates or truncates the file at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Printf writes one line with the time since the start of the case.
func (r *Record) Printf(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// The record is a diagnostic; a failed write must not change the result.
	_, _ = fmt.Fprintf(r.file, "%9.4f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// At returns the seconds from the start of the case to a time.
func (r *Record) At(t time.Time) float64 { return t.Sub(r.began).Seconds() }
