// Package prober measures how long keys and services are interrupted.
//
// A probe of each subject is sent every 200 ms, whether or not earlier probes were answered, so that a probe that hangs
// neither hides nor prolongs an interruption. An interruption of a subject is the time between the start of a
// successful probe and the end of the next successful one.
//
// Usage:
//
//	p := prober.New([]prober.Subject{{Service: "shelf-marks", Key: "probe-1"}}, entries)
//	go p.Run(ctx)
//	...
//	longest := p.LongestInterruption("shelf-marks")
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

// Subject is the target of probes: a key of a service, or a service without keys if Key is empty.
type Subject struct {
	Service string
	Key     string
}

// Interruption is the longest interruption of a subject.
type Interruption struct {
	Subject Subject
	Length  time.Duration
	// Since is the start of the last successful probe before the interruption.
	Since time.Time
}

type subjectState struct {
	// lastServed is the latest start of a successful probe, in the order of starts.
	lastServed time.Time
	everServed bool
	longest    Interruption
}

// Prober sends probes and records interruptions. It is safe for concurrent use.
type Prober struct {
	client   *http.Client
	subjects []Subject
	inFlight sync.WaitGroup

	mu      sync.Mutex
	entries []string
	next    int
	states  map[Subject]*subjectState
}

// New returns a prober that sends its probes to the entry addresses in turn.
func New(subjects []Subject, entries []string) *Prober {
	p := &Prober{
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: len(subjects)}},
		subjects: subjects,
		entries:  entries,
		states:   map[Subject]*subjectState{},
	}
	for _, subject := range subjects {
		p.states[subject] = &subjectState{longest: Interruption{Subject: subject}}
	}
	return p
}

// SetEntries replaces the entry addresses. Callers omit entries that are paused or stopped: a probe that such an entry
// does not answer does not show that the key is unavailable at the other entries.
func (p *Prober) SetEntries(entries []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = entries
}

// NeverServed returns the number of subjects without a successful probe since the start. Reset does not change it.
func (p *Prober) NeverServed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, state := range p.states {
		if !state.everServed {
			count++
		}
	}
	return count
}

// Reset discards all interruptions and assumes that every subject is served now.
func (p *Prober) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for subject, state := range p.states {
		state.lastServed = now
		state.longest = Interruption{Subject: subject}
	}
}

// Run sends probes until ctx is done and then waits for the responses to the last ones.
func (p *Prober) Run(ctx context.Context) {
	p.Reset()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		for _, subject := range p.subjects {
			p.inFlight.Go(func() { p.probe(subject) })
		}
		select {
		case <-ctx.Done():
			p.inFlight.Wait()
			p.finish(time.Now())
			return
		case <-ticker.C:
		}
	}
}

// LongestInterruption returns the longest interruption of all subjects of the service, or the zero value if there was
// none.
func (p *Prober) LongestInterruption(service string) Interruption {
	p.mu.Lock()
	defer p.mu.Unlock()
	var longest Interruption
	for _, state := range p.states {
		if state.longest.Subject.Service == service && state.longest.Length > longest.Length {
			longest = state.longest
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
	state := p.states[subject]
	state.everServed = true
	if !started.After(state.lastServed) {
		return
	}
	state.extend(ended)
	state.lastServed = started
}

// finish includes interruptions that continue at the end of the run. Up to one interval and one probe timeout can pass
// since the last successful probe without an interruption, so a shorter time is not counted.
func (p *Prober) finish(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, state := range p.states {
		if now.Sub(state.lastServed) > timeout+interval {
			state.extend(now)
		}
	}
}

func (s *subjectState) extend(ended time.Time) {
	if length := ended.Sub(s.lastServed); length > s.longest.Length {
		s.longest.Length = length
		s.longest.Since = s.lastServed
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
	response, err := p.client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
