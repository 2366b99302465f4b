package main

import (
	"context"
	"sort"
	"strings"
	"time"

	"rhubarbtrack.example/platform/simulator"
)

// Overlap is a span of time in which two or more upstreams held a key.
type Overlap struct {
	Key        int
	Holders    []string
	Begin, End time.Time
}

// sampleInterval is the time between two looks at the holders of a key.
const sampleInterval = 10 * time.Millisecond

// WatchHolders looks at the holders of keys until ctx is done, and returns the spans in which a key had several.
func WatchHolders(ctx context.Context, w *World, keys []int) []Overlap {
	open := map[int]*Overlap{}
	var found []Overlap
	end := func(key int, at time.Time) {
		if o := open[key]; o != nil {
			o.End = at
			found = append(found, *o)
			delete(open, key)
		}
	}
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		upstreams := w.Upstreams()
		for _, key := range keys {
			now := time.Now()
			holders := simulator.Holders(upstreams, key)
			if len(holders) < 2 {
				end(key, now)
				continue
			}
			if open[key] == nil {
				sort.Strings(holders)
				open[key] = &Overlap{Key: key, Holders: holders, Begin: now}
			}
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	for key := range open {
		end(key, time.Now())
	}
	return found
}

// RunsIn returns how many requests on the key each of the holders began in the span.
func (o Overlap) RunsIn(runs []Run) map[string]int {
	counts := map[string]int{}
	for _, run := range runs {
		if run.Key == o.Key && !run.At.Before(o.Begin) && !run.At.After(o.End) {
			counts[run.Upstream]++
		}
	}
	return counts
}

// String names the holders.
func (o Overlap) String() string { return strings.Join(o.Holders, " and ") }
