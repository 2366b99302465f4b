package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbtrack.example/platform/simulator"
)

// Callers send requests to hosts at a steady rate.
type Callers struct {
	World   *World
	Rate    float64 // requests per second
	Next    func(n int) (host *Host, prefix string, key int)
	count   atomic.Int64
	ok      atomic.Int64
	refused atomic.Int64
	failed  atomic.Int64
	group   sync.WaitGroup
	mutex   sync.Mutex
	answers []answer
	client  *http.Client
}

// answer is how one request ended.
type answer struct {
	sentAt time.Time
	prefix string
	served bool
}

// deadline is how long callers wait.
const deadline = 2 * time.Second

// Run sends requests until ctx is done, and waits for the last answers.
func (c *Callers) Run(ctx context.Context) {
	c.client = &http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.Rate))
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
			c.group.Go(c.send)
		}
	}
	c.group.Wait()
}

func (c *Callers) send() {
	n := int(c.count.Add(1))
	host, prefix, key := c.Next(n)
	if host == nil {
		return
	}
	attempt := fmt.Sprintf("q%07d", n)
	call := simulator.Call{Prefix: prefix, Name: "x", Attempt: attempt, Key: key, TimeLeft: deadline}
	c.World.Record.Line("send %s %s to %s key %d", attempt, prefix, host.Name, key)
	sentAt := time.Now()
	reply, err := call.Send(c.client, host.Callers())
	switch {
	case err != nil:
		c.failed.Add(1)
	case reply.Status == http.StatusOK:
		c.ok.Add(1)
	case reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests:
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
	c.mutex.Lock()
	c.answers = append(c.answers, answer{sentAt, prefix, err == nil && reply.Status == http.StatusOK && reply.Matches})
	c.mutex.Unlock()
	c.World.Record.Line("answer %s status %d whole %v error %v", attempt, reply.Status, reply.Matches, err != nil)
}

// Counts returns the numbers of answers so far.
func (c *Callers) Counts() string {
	return fmt.Sprintf("%d sent, %d served, %d refused, %d failed", c.count.Load(), c.ok.Load(), c.refused.Load(), c.failed.Load())
}

// Kinds returns the numbers of all requests and of those to the keyed service that were sent at a time or later.
func (c *Callers) Kinds(since time.Time) (all, keyed kindCount) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, a := range c.answers {
		if a.sentAt.Before(since) {
			continue
		}
		count := func(k *kindCount) {
			k.sent++
			if a.served {
				k.served++
			}
		}
		count(&all)
		if a.prefix != simulator.PlainPrefix {
			count(&keyed)
		}
	}
	return all, keyed
}
