package main

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// life is one run of a server's process.
type life struct {
	server string
	born   int64
}

func (l life) String() string { return fmt.Sprintf("%s (born %d)", l.server, l.born) }

// sortedEvents returns the events of all servers in the order of their times.
func (w *world) sortedEvents() []event {
	w.mutex.Lock()
	events := slices.Clone(w.events)
	w.mutex.Unlock()
	slices.SortStableFunc(events, func(a, b event) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	return events
}

// checkFences returns the grants whose fencing token is not above those with which other lives had one of the keys. With lives of
// one server alone, only these are compared.
func checkFences(w *world, counts func(taker, had life) bool) []string {
	type had struct {
		fence uint64
		by    life
		at    int64
	}
	var last [keyCount]had
	var breaks []string
	events := w.sortedEvents()
	for _, e := range events {
		if e.What != "grant" {
			continue
		}
		by := life{e.Server, e.Born}
		said := false
		for key := e.From; key <= e.To; key++ {
			l := &last[key]
			if l.by.server != "" && l.by != by && e.Fence <= l.fence && !said && counts(by, l.by) {
				said = true
				breaks = append(breaks, fmt.Sprintf(
					"OWNER: %.3f s: server %v takes keys %d to %d with token %d; server %v had key %d with token %d at %.3f s; requests that the taker ran with it: %d",
					w.seconds(e.At), by, e.From, e.To, e.Fence, l.by, key, l.fence, w.seconds(l.at), countRuns(events, by, e)))
			}
			if e.Fence >= l.fence {
				*l = had{e.Fence, by, e.At}
			}
		}
	}
	return breaks
}

// countRuns returns the number of requests that a life ran on keys of a grant with the token of that.
func countRuns(events []event, by life, grant event) int {
	runs := 0
	for _, e := range events {
		if e.What == "run" && e.Server == by.server && e.Born == by.born && e.Fence == grant.Fence && e.Key >= grant.From && e.Key <= grant.To {
			runs++
		}
	}
	return runs
}

// dump writes to the record what was sent and answered, and what the servers saw.
func (w *world) dump(answers []answer) {
	for _, a := range answers {
		w.note("sent at %.3f: request %s to %s; answered at %.3f: status %d, whole and right %v", a.sent.Sub(w.started).Seconds(), a.attempt, a.host,
			a.ended.Sub(w.started).Seconds(), a.status, a.right)
	}
	for _, e := range w.sortedEvents() {
		by := life{e.Server, e.Born}
		switch e.What {
		case "grant", "release", "released", "stale":
			w.note("at %.3f: server %v: %s of keys %d to %d, token %d", w.seconds(e.At), by, e.What, e.From, e.To, e.Fence)
		case "born":
			w.note("at %.3f: server %v starts", w.seconds(e.At), by)
		default:
			w.note("at %.3f: server %v: %s, request %s, key %d, token %d", w.seconds(e.At), by, e.What, e.Attempt, e.Key, e.Fence)
		}
	}
}

// span is a time in which a life holds the keys of a cell.
type span struct {
	by       life
	from, to int64
}

// checkHolders returns the times in which two lives that are up hold the same keys.
func checkHolders(w *world) []string {
	events := w.sortedEvents()
	cuts := map[int]bool{0: true, keyCount: true}
	for _, e := range events {
		if e.What == "grant" || e.What == "release" {
			cuts[e.From], cuts[e.To+1] = true, true
		}
	}
	var edges []int
	for cut := range cuts {
		edges = append(edges, cut)
	}
	sort.Ints(edges)
	w.mutex.Lock()
	deaths := map[life]int64{}
	for l, at := range w.deaths {
		deaths[l] = at
	}
	w.mutex.Unlock()
	var breaks []string
	for i := 0; i+1 < len(edges); i++ {
		cell := edges[i]
		var spans []span
		open := map[life]int{}
		for _, e := range events {
			if cell < e.From || cell > e.To || (e.What != "grant" && e.What != "release") {
				continue
			}
			by := life{e.Server, e.Born}
			at, ok := open[by]
			if e.What == "release" {
				if ok && spans[at].to > e.At {
					spans[at].to = e.At
				}
				delete(open, by)
				continue
			}
			until := e.Until
			if death, dead := deaths[by]; dead {
				until = min(until, death)
			}
			if ok && spans[at].to >= e.At {
				spans[at].to = max(spans[at].to, until)
				continue
			}
			open[by] = len(spans)
			spans = append(spans, span{by, e.At, until})
		}
		for a := range spans {
			for b := a + 1; b < len(spans); b++ {
				x, y := spans[a], spans[b]
				from, to := max(x.from, y.from), min(x.to, y.to)
				if x.by == y.by || from >= to {
					continue
				}
				breaks = append(breaks, fmt.Sprintf("keys %d to %d: %v and %v hold them from %.3f s to %.3f s, %v", cell, edges[i+1]-1, x.by, y.by,
					w.seconds(from), w.seconds(to), time.Duration(to-from).Round(time.Millisecond)))
			}
		}
	}
	return breaks
}

// checkRuns returns requests that ran twice though they may not, and those that ran though the client was told that they had not.
func checkRuns(w *world, answers []answer) []string {
	runs := map[string]int{}
	for _, e := range w.sortedEvents() {
		if e.What == "run" {
			runs[e.Attempt]++
		}
	}
	var breaks []string
	for _, a := range answers {
		n := runs[a.attempt]
		if a.once && n > 1 {
			breaks = append(breaks, fmt.Sprintf("TWICE: request %s ran %d times", a.attempt, n))
		}
		if a.once && n > 0 && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) {
			breaks = append(breaks, fmt.Sprintf("REFUSED: request %s was answered %d at %.3f s and ran", a.attempt, a.status, a.ended.Sub(w.started).Seconds()))
		}
		if a.status/100 == 2 && !a.right {
			breaks = append(breaks, fmt.Sprintf("MIXED: request %s got a wrong answer", a.attempt))
		}
	}
	return breaks
}
