// Package planner takes failure domains out of service and returns them, on request of an operator, for weekly cleaning
// windows, and after a sudden loss.
//
// A failure domain is out of service while at least one cause holds. Before it is taken out for an operator or a window,
// the capacity that remains is compared with the demand; a loss is a fact and skips the check. All causes then take the
// same path: the caller moves slices and admissions away, Step reports when none is left, and after the return Step
// follows the cold starts until every upstream of the domain is warm again.
//
// # Usage
//
//	p := planner.New(planner.DefaultPace, time.LoadLocation)
//	actions, err := p.TakeOut(now, status, "trnava-2", false)
//	...
//	for _, action := range p.Step(now, status, snapshot.Windows) {
//		// carry out TakeOut and Return, log and audit the others
//	}
//
// One planner has to see all services, since a failure domain contains upstreams of several. The time is a wall-clock
// time, because windows are calendar times. The planner keeps its state in memory; the caller stores Snapshot when an action
// is returned and passes it to Restore after a takeover. Otherwise a successor would return a domain that is being
// emptied before the start of its window, since the lead time shrinks with the slices that are left.
//
// # Windows and daylight saving
//
// A window starts at the first instant at which the clock of its time zone shows the start or later. A start in the hour
// that is skipped in spring therefore means the end of that hour, and a start in the hour that is repeated in autumn
// means its first run. Length is elapsed time: a window of three hours lasts three hours, so its end by the clock shifts
// by an hour when the clocks change inside it.
package drainer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rhubarbtrack.example/core/configurator"
)

// Upstream is the state of one upstream.
type Upstream struct {
	Name          string
	Service       string
	FailureDomain string
	Slots         int  // requests run at once when it is warm
	Capacity      int  // requests that it can run at once now, fewer than Slots while it is cold
	Serving       bool // answers, and no operator drains it
	Slices        int  // slices that it owns or is receiving
}

// Status is the state of all services that the failure domains contain.
type Status struct {
	Upstreams  []Upstream
	Admissions map[string]int     // admission roles on the hosts of each failure domain
	Demand     map[string]float64 // slots in use by service, the highest expected value until the domain is back
}

// Cause says why a failure domain is out of service.
type Cause int

// Causes.
const (
	// Operator is a request by an operator; it holds until an operator returns the domain.
	Operator Cause = iota
	// Cleaning is a weekly window; it holds until the end of the window.
	Cleaning
	// Failure is a sudden failure; it holds until the domain is found again.
	Failure
)

// Outage is one cause for which a failure domain is out of service.
type Outage struct {
	Domain string
	Cause  Cause
	Since  time.Time
	Window string    // name, for Cleaning
	Start  time.Time // of the window, for Cleaning
	End    time.Time // of the window, for Cleaning
}

// Phase is the state of a failure domain.
type Phase int

// Phases in the order in which a domain passes them.
const (
	// InService domains receive work.
	InService Phase = iota
	// Draining domains are out and still hold slices or admissions.
	Draining
	// Empty domains are out and hold nothing.
	Empty
	// Returning domains are back, but some of their upstreams are still cold.
	Returning
)

// Progress describes a failure domain on its way out or back.
type Progress struct {
	Domain     string
	Phase      Phase
	Since      time.Time // start of the first cause, or of the return
	Slices     int       // left in the domain
	Admissions int       // left in the domain
	Cold       int       // upstreams below their full capacity, while Returning
}

// ActionKind is the kind of an action.
type ActionKind int

// Kinds of actions. All but TakeOut and Return are reports.
const (
	// TakeOut orders that the domain gets no new work and is emptied. Shortfalls is set if capacity is exceeded anyway.
	TakeOut ActionKind = iota
	// Return orders that the domain gets work again, within the capacity of its cold upstreams.
	Return
	// Emptied reports that no slice and no admission is left in the domain.
	Emptied
	// WindowLate reports that a window has started and the domain is not empty.
	WindowLate
	// WindowOverCapacity reports that a window is not carried out this week because of the Shortfalls.
	WindowOverCapacity
	// WindowBlocked reports that a window is not carried out this week because another domain, Other, is out of service.
	WindowBlocked
	// WindowZoneUnknown reports that the time zone of a window is unknown, so that the window cannot be carried out.
	WindowZoneUnknown
	// Returned reports that all upstreams of the domain are warm again.
	Returned
)

// Action is an order or a report.
type Action struct {
	Kind       ActionKind
	Domain     string
	Other      string // for Blocked
	Window     string // if it is the cause
	Start      time.Time
	Shortfalls []Shortfall
	Progress   Progress
}

// State is what a successor needs to continue.
type State struct {
	Outages   []Outage             // causes that hold, oldest first
	Returning map[string]time.Time // by failure domain: start of the return
	Handled   map[string]time.Time // by window: start of the occurrence that needs no further decision
}

// Drainer is the state of all failure domains that are out or returning.
type Drainer struct {
	State
	pace    MoveTiming
	zones   ZoneLoader
	emptied map[string]bool // reported as empty
	late    map[string]bool // reported as late
}

// New returns a planner with all domains in service. It asks zones once for each time zone.
func New(pace MoveTiming, zones ZoneLoader) *Drainer {
	p := &Drainer{pace: pace, zones: cached(zones), emptied: map[string]bool{}, late: map[string]bool{}}
	p.Restore(State{})
	return p
}

// Snapshot returns a copy of the state.
func (p *Drainer) Snapshot() State {
	return State{Outages: slices.Clone(p.Outages), Returning: maps.Clone(p.Returning), Handled: maps.Clone(p.Handled)}
}

// Restore replaces the state, after a takeover. Domains that are empty or late are reported once more.
func (p *Drainer) Restore(state State) {
	p.State = State{Outages: slices.Clone(state.Outages), Returning: map[string]time.Time{}, Handled: map[string]time.Time{}}
	maps.Copy(p.Returning, state.Returning)
	maps.Copy(p.Handled, state.Handled)
}

// IsOut reports whether a cause keeps the failure domain out of service.
func (p *Drainer) IsOut(domain string) bool {
	return slices.ContainsFunc(p.Outages, func(out Outage) bool { return out.Domain == domain })
}

// TakeOut takes a failure domain out of service for an operator. Without force it refuses with an error of kind Shortfall
// if the rest cannot bear the demand, and of kind OtherOut if another domain is out, since the loss of two domains may
// cost a service the majority of its witnesses. A domain that is out for an operator already needs nothing.
func (p *Drainer) TakeOut(now time.Time, status Status, domain string, force bool) ([]Action, error) {
	if p.has(domain, Operator) {
		return nil, nil
	}
	shortfalls := p.Shortfalls(status, domain)
	if other := p.otherOut(domain); other != "" && !force {
		return nil, fail("take out", OtherDomainOut, nil, "failure domain %q is out of service", other)
	}
	if len(shortfalls) > 0 && !force {
		return nil, fail("take out", CapacityExceeded, shortfalls, "failure domain %q: %s", domain, describe(shortfalls))
	}
	return p.begin(Outage{Domain: domain, Cause: Operator, Since: now}, shortfalls), nil
}

// MarkFailed takes a failure domain out of service that has been lost, without a capacity check.
func (p *Drainer) MarkFailed(now time.Time, status Status, domain string) []Action {
	if p.has(domain, Failure) {
		return nil
	}
	return p.begin(Outage{Domain: domain, Cause: Failure, Since: now}, p.Shortfalls(status, domain))
}

// MarkRecovered ends the loss of a failure domain. It stays out while another cause holds.
func (p *Drainer) MarkRecovered(now time.Time, domain string) []Action {
	return p.end(now, func(out Outage) bool { return out.Domain == domain && out.Cause == Failure })
}

// Return ends the request of an operator and the running window of a failure domain. A loss is ended by Find only.
func (p *Drainer) Return(now time.Time, domain string) []Action {
	return p.end(now, func(out Outage) bool { return out.Domain == domain && out.Cause != Failure })
}

// Step advances all failure domains and windows. It may be called at any interval; every report is made once.
func (p *Drainer) Step(now time.Time, status Status, windows map[string]configurator.Window) []Action {
	actions := p.end(now, func(out Outage) bool { return out.Cause == Cleaning && !now.Before(out.End) })
	actions = append(actions, p.startWindows(now, status, windows)...)
	for _, progress := range p.Progress(status) {
		actions = append(actions, p.report(now, progress)...)
	}
	return actions
}

// Progress describes every failure domain that is out or returning, by name.
func (p *Drainer) Progress(status Status) []Progress {
	all := map[string]Progress{}
	for _, out := range p.Outages {
		if _, ok := all[out.Domain]; !ok {
			all[out.Domain] = p.leaving(status, out)
		}
	}
	for domain, since := range p.Returning {
		all[domain] = coming(status, domain, since)
	}
	return slices.SortedFunc(maps.Values(all), func(x, y Progress) int { return cmp.Compare(x.Domain, y.Domain) })
}

func (p *Drainer) leaving(status Status, first Outage) Progress {
	progress := Progress{Domain: first.Domain, Phase: Empty, Since: first.Since,
		Admissions: status.Admissions[first.Domain]}
	for _, upstream := range status.Upstreams {
		if upstream.FailureDomain == first.Domain {
			progress.Slices += upstream.Slices
		}
	}
	if progress.Slices+progress.Admissions > 0 {
		progress.Phase = Draining
	}
	return progress
}

func coming(status Status, domain string, since time.Time) Progress {
	progress := Progress{Domain: domain, Phase: InService, Since: since, Admissions: status.Admissions[domain]}
	for _, upstream := range status.Upstreams {
		if upstream.FailureDomain != domain || !upstream.Serving {
			continue
		}
		progress.Slices += upstream.Slices
		if upstream.Capacity < upstream.Slots {
			progress.Cold++
			progress.Phase = Returning
		}
	}
	return progress
}

// report returns the reports that are due for a domain.
func (p *Drainer) report(now time.Time, progress Progress) []Action {
	domain := progress.Domain
	switch progress.Phase {
	case InService:
		delete(p.Returning, domain)
		return []Action{{Kind: Returned, Domain: domain, Progress: progress}}
	case Empty:
		if p.emptied[domain] {
			return nil
		}
		p.emptied[domain] = true
		return []Action{{Kind: Emptied, Domain: domain, Progress: progress}}
	case Draining:
		p.emptied[domain] = false
		for _, out := range p.Outages {
			if out.Domain == domain && out.Cause == Cleaning && !now.Before(out.Start) && !p.late[domain] {
				p.late[domain] = true
				return []Action{{Kind: WindowLate, Domain: domain, Window: out.Window, Start: out.Start, Progress: progress}}
			}
		}
	}
	return nil
}

// begin records a cause. The domain is taken out by its first one.
func (p *Drainer) begin(out Outage, shortfalls []Shortfall) []Action {
	already := p.IsOut(out.Domain)
	p.Outages = append(p.Outages, out)
	delete(p.Returning, out.Domain)
	if already {
		return nil
	}
	return []Action{{Kind: TakeOut, Domain: out.Domain, Window: out.Window, Start: out.Start, Shortfalls: shortfalls}}
}

// end removes the causes that are chosen and returns the domains that no cause is left for.
func (p *Drainer) end(now time.Time, chosen func(Outage) bool) []Action {
	before := slices.Clone(p.Outages)
	p.Outages = slices.DeleteFunc(p.Outages, chosen)
	var actions []Action
	for _, out := range before {
		_, returning := p.Returning[out.Domain]
		if p.IsOut(out.Domain) || returning {
			continue
		}
		p.Returning[out.Domain] = now
		delete(p.emptied, out.Domain)
		delete(p.late, out.Domain)
		actions = append(actions, Action{Kind: Return, Domain: out.Domain, Window: out.Window, Start: out.Start})
	}
	return actions
}

func (p *Drainer) has(domain string, cause Cause) bool {
	return slices.ContainsFunc(p.Outages, func(out Outage) bool { return out.Domain == domain && out.Cause == cause })
}

// otherOut returns a failure domain besides domain that is out of service, or "".
func (p *Drainer) otherOut(domain string) string {
	for _, out := range p.Outages {
		if out.Domain != domain {
			return out.Domain
		}
	}
	return ""
}
