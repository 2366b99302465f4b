// Package drainer takes failure domains out of service and returns them to service: on request of an operator, for
// weekly cleaning windows, and when a domain fails.
//
// A failure domain is out of service while it has at least one Outage. Before a domain is taken out for an operator or
// a window, the remaining capacity is compared with the demand. A failure has already happened, so it skips this check.
// The rest is the same for all causes: the caller moves slices and admissions to other domains, and Step reports when
// none is left. After the return, Step reports when every upstream of the domain is warm again.
//
// # Usage
//
//	d := drainer.New(drainer.DefaultMoveTiming, time.LoadLocation)
//	actions, err := d.TakeOut(now, status, "trnava-2", false)
//	...
//	for _, action := range d.Step(now, status, snapshot.Windows) {
//		// carry out TakeOut and Return, log and audit the others
//	}
//
// One Drainer must handle all services, because a failure domain contains upstreams of several services. Times are
// wall-clock times, because windows are calendar times. A Drainer is not safe for concurrent use.
//
// The state is kept in memory. The caller stores Snapshot whenever an action is returned and passes it to Restore after
// a takeover. Without it, a successor would return a domain that is being drained before the start of its window,
// because the lead time decreases with the number of remaining slices.
//
// # Windows and daylight saving
//
// A window starts at the first instant at which the local time in its time zone is at or after the configured start. A
// start in the hour that is skipped in spring therefore means the end of that hour, and a start in the hour that is
// repeated in autumn means its first occurrence. Length is elapsed time: a window of three hours always lasts three
// hours, so its end in local time shifts by an hour if the clocks change during the window.
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
	Slots         int  // concurrent requests when warm
	Capacity      int  // concurrent requests now, fewer than Slots while it is cold
	Serving       bool // responds and is not being drained by an operator
	Slices        int  // slices that it owns or that are being moved to it
}

// Status is the current state of all services.
type Status struct {
	Upstreams  []Upstream
	Admissions map[string]int     // by failure domain: admission roles of its hosts
	Demand     map[string]float64 // by service: highest number of slots in use expected until the domain is returned
}

// Cause says why a failure domain is out of service.
type Cause int

// Causes.
const (
	// Operator is a request by an operator. It lasts until an operator returns the domain.
	Operator Cause = iota
	// Cleaning is a weekly window. It lasts until the end of the window or until an operator returns the domain.
	Cleaning
	// Failure is the failure of the domain. It lasts until the domain has recovered.
	Failure
)

// Outage is a period in which a failure domain is out of service for one cause. Outages of a domain may overlap.
type Outage struct {
	Domain string
	Cause  Cause
	Since  time.Time
	Window string    // for Cleaning: name of the window
	Start  time.Time // for Cleaning: start of the window
	End    time.Time // for Cleaning: end of the window
}

// Phase is the state of a failure domain between service and outage.
type Phase int

// Phases in the order in which a domain passes them.
const (
	// InService domains receive work.
	InService Phase = iota
	// Draining domains are out of service and still have slices or admissions.
	Draining
	// Empty domains are out of service and have neither slices nor admissions.
	Empty
	// Returning domains receive work again, but some of their upstreams are still cold.
	Returning
)

// Progress describes a failure domain that is out of service or returning.
type Progress struct {
	Domain     string
	Phase      Phase
	Since      time.Time // start of the first outage, or of the return
	Slices     int       // slices in the domain
	Admissions int       // admissions in the domain
	Cold       int       // while Returning: upstreams below their full capacity
}

// ActionKind is the kind of an action.
type ActionKind int

// Kinds of actions. TakeOut and Return are orders to the caller, the others are reports.
const (
	// TakeOut orders that the domain receives no new work and is drained. Shortfalls is set if it is taken out although
	// the demand exceeds the remaining capacity.
	TakeOut ActionKind = iota
	// Return orders that the domain receives work again, limited by the capacity of its cold upstreams.
	Return
	// Emptied reports that the domain has neither slices nor admissions.
	Emptied
	// WindowLate reports that a window has started before the domain was empty.
	WindowLate
	// WindowOverCapacity reports that a window is skipped this week because of the Shortfalls.
	WindowOverCapacity
	// WindowBlocked reports that a window is skipped this week because another domain, Other, is out of service.
	WindowBlocked
	// WindowZoneUnknown reports that a window is skipped because its time zone is unknown or one of its fields is invalid.
	WindowZoneUnknown
	// Returned reports that all upstreams of the domain are warm again.
	Returned
)

// Action is an order or a report.
type Action struct {
	Kind       ActionKind
	Domain     string
	Other      string    // for WindowBlocked
	Window     string    // name of the window, if one is the cause
	Start      time.Time // of the window
	Shortfalls []Shortfall
	Progress   Progress
}

// State is the part of a Drainer that must survive a takeover.
type State struct {
	Outages   []Outage             // current outages, oldest first
	Returning map[string]time.Time // by failure domain: start of the return
	// Handled has, by window, the start of the latest occurrence that was carried out or skipped. For a window that
	// cannot be carried out, it has the time of the report.
	Handled map[string]time.Time
}

// Drainer tracks the failure domains that are out of service or returning.
type Drainer struct {
	State
	timing  MoveTiming
	zones   ZoneLoader
	emptied map[string]bool // by failure domain: Emptied was reported
	late    map[string]bool // by failure domain: WindowLate was reported
}

// New returns a Drainer with all domains in service. It caches the time zones that loadZone returns.
func New(timing MoveTiming, loadZone ZoneLoader) *Drainer {
	d := &Drainer{timing: timing, zones: cacheZones(loadZone), emptied: map[string]bool{}, late: map[string]bool{}}
	d.Restore(State{})
	return d
}

// Snapshot returns a copy of the state.
func (d *Drainer) Snapshot() State {
	return State{Outages: slices.Clone(d.Outages), Returning: maps.Clone(d.Returning), Handled: maps.Clone(d.Handled)}
}

// Restore replaces the state after a takeover. Emptied and WindowLate are reported again for domains to which they
// apply.
func (d *Drainer) Restore(state State) {
	d.State = State{Outages: slices.Clone(state.Outages), Returning: map[string]time.Time{},
		Handled: map[string]time.Time{}}
	maps.Copy(d.Returning, state.Returning)
	maps.Copy(d.Handled, state.Handled)
}

// IsOut reports whether the failure domain has an outage.
func (d *Drainer) IsOut(domain string) bool {
	return slices.ContainsFunc(d.Outages, func(outage Outage) bool { return outage.Domain == domain })
}

// TakeOut takes a failure domain out of service for an operator. Without force it returns an error of kind
// CapacityExceeded if the demand exceeds the remaining capacity. It returns one of kind OtherDomainOut if another
// domain is out of service, because without two domains a service may lack a majority of its witnesses. If the domain
// is already out for an operator, TakeOut does nothing.
func (d *Drainer) TakeOut(now time.Time, status Status, domain string, force bool) ([]Action, error) {
	if d.hasOutage(domain, Operator) {
		return nil, nil
	}
	shortfalls := d.Shortfalls(status, domain)
	if other := d.otherOut(domain); other != "" && !force {
		return nil, fail("take out", OtherDomainOut, nil, "failure domain %q is out of service", other)
	}
	if len(shortfalls) > 0 && !force {
		return nil, fail("take out", CapacityExceeded, shortfalls, "failure domain %q: %s", domain,
			formatShortfalls(shortfalls))
	}
	return d.addOutage(Outage{Domain: domain, Cause: Operator, Since: now}, shortfalls), nil
}

// MarkFailed takes a failed domain out of service, without a capacity check.
func (d *Drainer) MarkFailed(now time.Time, status Status, domain string) []Action {
	if d.hasOutage(domain, Failure) {
		return nil
	}
	return d.addOutage(Outage{Domain: domain, Cause: Failure, Since: now}, d.Shortfalls(status, domain))
}

// MarkRecovered ends the outage for the failure of a domain. The domain stays out while it has another outage.
func (d *Drainer) MarkRecovered(now time.Time, domain string) []Action {
	return d.removeOutages(now, func(outage Outage) bool { return outage.Domain == domain && outage.Cause == Failure })
}

// Return ends the outages of a domain for an operator and for a window. Only MarkRecovered ends an outage for a
// failure.
func (d *Drainer) Return(now time.Time, domain string) []Action {
	return d.removeOutages(now, func(outage Outage) bool { return outage.Domain == domain && outage.Cause != Failure })
}

// Step advances all failure domains and windows and returns the actions that are due. It may be called at any interval.
// Every report is returned once.
func (d *Drainer) Step(now time.Time, status Status, windows map[string]configurator.Window) []Action {
	actions := d.removeOutages(now, func(outage Outage) bool {
		return outage.Cause == Cleaning && !now.Before(outage.End)
	})
	actions = append(actions, d.startWindows(now, status, windows)...)
	for _, progress := range d.Progress(status) {
		actions = append(actions, d.dueReports(now, progress)...)
	}
	return actions
}

// Progress describes every failure domain that is out of service or returning, sorted by name.
func (d *Drainer) Progress(status Status) []Progress {
	all := map[string]Progress{}
	for _, outage := range d.Outages {
		if _, ok := all[outage.Domain]; !ok {
			all[outage.Domain] = d.drainProgress(status, outage)
		}
	}
	for domain, since := range d.Returning {
		all[domain] = returnProgress(status, domain, since)
	}
	return slices.SortedFunc(maps.Values(all), func(x, y Progress) int { return cmp.Compare(x.Domain, y.Domain) })
}

func (d *Drainer) drainProgress(status Status, first Outage) Progress {
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

func returnProgress(status Status, domain string, since time.Time) Progress {
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

// dueReports returns the reports about a domain that have not been returned before.
func (d *Drainer) dueReports(now time.Time, progress Progress) []Action {
	domain := progress.Domain
	switch progress.Phase {
	case InService:
		delete(d.Returning, domain)
		return []Action{{Kind: Returned, Domain: domain, Progress: progress}}
	case Empty:
		if d.emptied[domain] {
			return nil
		}
		d.emptied[domain] = true
		return []Action{{Kind: Emptied, Domain: domain, Progress: progress}}
	case Draining:
		d.emptied[domain] = false
		for _, outage := range d.Outages {
			if outage.Domain == domain && outage.Cause == Cleaning && !now.Before(outage.Start) && !d.late[domain] {
				d.late[domain] = true
				return []Action{{Kind: WindowLate, Domain: domain, Window: outage.Window, Start: outage.Start,
					Progress: progress}}
			}
		}
	}
	return nil
}

// addOutage adds an outage. It returns TakeOut if it is the only outage of the domain.
func (d *Drainer) addOutage(outage Outage, shortfalls []Shortfall) []Action {
	already := d.IsOut(outage.Domain)
	d.Outages = append(d.Outages, outage)
	delete(d.Returning, outage.Domain)
	if already {
		return nil
	}
	return []Action{{Kind: TakeOut, Domain: outage.Domain, Window: outage.Window, Start: outage.Start,
		Shortfalls: shortfalls}}
}

// removeOutages removes the outages for which ended returns true. It returns Return for each domain without a remaining
// outage.
func (d *Drainer) removeOutages(now time.Time, ended func(Outage) bool) []Action {
	before := slices.Clone(d.Outages)
	d.Outages = slices.DeleteFunc(d.Outages, ended)
	var actions []Action
	for _, outage := range before {
		_, returning := d.Returning[outage.Domain]
		if d.IsOut(outage.Domain) || returning {
			continue
		}
		d.Returning[outage.Domain] = now
		delete(d.emptied, outage.Domain)
		delete(d.late, outage.Domain)
		actions = append(actions, Action{Kind: Return, Domain: outage.Domain, Window: outage.Window, Start: outage.Start})
	}
	return actions
}

func (d *Drainer) hasOutage(domain string, cause Cause) bool {
	return slices.ContainsFunc(d.Outages, func(outage Outage) bool {
		return outage.Domain == domain && outage.Cause == cause
	})
}

// otherOut returns a failure domain other than domain that is out of service, or "".
func (d *Drainer) otherOut(domain string) string {
	for _, outage := range d.Outages {
		if outage.Domain != domain {
			return outage.Domain
		}
	}
	return ""
}
