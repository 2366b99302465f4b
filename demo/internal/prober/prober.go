// Package prober measures for how long keys and services are not served.
//
// A probe of every subject starts at a fixed interval, whether or not earlier probes were answered, so that a probe that
// hangs neither hides nor prolongs an interruption. An interruption of a subject is the time between the start of a
// successful probe and the end of the next successful one.
//
// Usage:
//
//	p := prober.New([]prober.Subject{{Service: "shelf-marks", Key: "probe-1"}}, entries)
//	go p.Run(ctx)
//	...
//	gap := p.Longest("shelf-marks")
package prober

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	interval = 200 * time.Millisecond
	timeout  = time.Second
)

// Subject is a key of a service, or a service without keys when Key is empty.
type Subject struct {
	Service string
	Key     string
}

// Interruption is the longest interruption of a subject.
type Interruption struct {
	Subject Subject
	Length  time.Duration
	// Since is when the interruption began.
	Since time.Time
}

type record struct {
	// served is the latest start of a successful probe, in the order of starts.
	served  time.Time
	ever    bool
	longest Interruption
}

// Prober is safe for concurrent use.
type Prober struct {
	client   *http.Client
	subjects []Subject
	waiting  sync.WaitGroup

	mu      sync.Mutex
	entries []string
	next    int
	records map[Subject]*record
}

// New returns a prober that sends through the entry addresses in turn.
func New(subjects []Subject, entries []string) *Prober {
	p := &Prober{
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: len(subjects)}},
		subjects: subjects,
		entries:  entries,
		records:  map[Subject]*record{},
	}
	for _, subject := range subjects {
		p.records[subject] = &record{longest: Interruption{Subject: subject}}
	}
	return p
}

// SetEntries replaces the entry addresses. Callers leave out an entry that is paused or stopped, since its silence does
// not show that a key is not served.
func (p *Prober) SetEntries(entries []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = entries
}

// NeverServed returns the number of subjects that have never been served.
func (p *Prober) NeverServed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, r := range p.records {
		if !r.ever {
			count++
		}
	}
	return count
}

// Reset forgets all interruptions and takes every subject as served now.
func (p *Prober) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for subject, r := range p.records {
		r.served = now
		r.longest = Interruption{Subject: subject}
	}
}

// Run probes until ctx is done and then waits for the last probes.
func (p *Prober) Run(ctx context.Context) {
	p.Reset()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		for _, subject := range p.subjects {
			p.waiting.Go(func() { p.probe(subject) })
		}
		select {
		case <-ctx.Done():
			p.waiting.Wait()
			p.finish(time.Now())
			return
		case <-ticker.C:
		}
	}
}

// LongestInterruption returns the longest interruption among the subjects of the service.
func (p *Prober) LongestInterruption(service string) Interruption {
	p.mu.Lock()
	defer p.mu.Unlock()
	var longest Interruption
	for _, r := range p.records {
		if r.longest.Subject.Service == service && r.longest.Length > longest.Length {
			longest = r.longest
		}
	}
	return longest
}

func (p *Prober) probe(subject Subject) {
	started := time.Now()
	if !p.send(subject) {
		return
	}
	p.record(subject, started, time.Now())
}

func (p *Prober) record(subject Subject, started, ended time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.records[subject]
	r.ever = true
	if !started.After(r.served) {
		return
	}
	r.extend(ended)
	r.served = started
}

// finish counts an interruption that had not ended at the end of the run.
func (p *Prober) finish(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.records {
		if now.Sub(r.served) > timeout+interval {
			r.extend(now)
		}
	}
}

func (r *record) extend(ended time.Time) {
	if length := ended.Sub(r.served); length > r.longest.Length {
		r.longest.Length = length
		r.longest.Since = r.served
	}
}

func (p *Prober) send(subject Subject) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	p.mu.Lock()
	p.next++
	entry := p.entries[p.next%len(p.entries)]
	p.mu.Unlock()
	url := fmt.Sprintf("http://%s/%s/probe", entry, subject.Service)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	if subject.Key != "" {
		request.Header.Set("Rhubarbtrack-Key", subject.Key)
	}
	answer, err := p.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, answer.Body)
	return err == nil && answer.StatusCode == http.StatusOK
}
