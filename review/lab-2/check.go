package main

import (
	"fmt"
	"slices"
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

// thawSlack is thaw_slack_s: grants that arrive within it after a link has healed do not count.
const thawSlack = 300 * time.Millisecond

// isExcused reports whether a grant arrived within thawSlack after the link of its server had healed.
func (w *world) isExcused(grant event) bool {
	for _, at := range w.healed[grant.Server] {
		if since := grant.At - at.UnixNano(); since >= 0 && since <= int64(thawSlack) {
			return true
		}
	}
	return false
}

// checkFences returns the grants whose fencing token is not above those with which other lives had one of the keys.
func checkFences(w *world) []string {
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
		said := w.isExcused(e)
		for key := e.From; key <= e.To; key++ {
			l := &last[key]
			if l.by.server != "" && l.by != by && e.Fence <= l.fence && !said {
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
