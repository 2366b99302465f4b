package follower

import (
	"time"

	"rhubarbtrack.example/platform/translator"
)

// objectName identifies an object of the store.
type objectName struct{ kind, name string }

// recency tracks how old the copy is, and since when the state that is being applied may have existed. Its methods are called
// before the state is applied.
type recency struct {
	current map[string]time.Duration     // by kind, when the copy was last known to be current
	since   time.Duration                // earliest begin of a state that is found now
	former  time.Duration                // when the copy that is replaced now was last known to be current
	begins  map[objectName]time.Duration // earliest begin of single states, if the controller has sent it
}

func newRecency() recency { return recency{current: map[string]time.Duration{}} }

// list records the response to a list that was requested at sentAt. Any outage may have hidden the begin of a state that is
// found in it, so the state may be as old as the last confirmation of the copy.
func (r *recency) list(kind string, sentAt time.Duration) {
	r.since, r.former, r.begins = r.current[kind], r.current[kind], nil
	// The relay may have confirmed a later state during the call.
	r.current[kind] = max(r.current[kind], sentAt)
}

// events records the response to a watch, which proves the state of confirmedAt.
func (r *recency) events(kind string, confirmedAt, now time.Duration) {
	r.since, r.former, r.begins = now, r.current[kind], nil
	r.current[kind] = max(r.current[kind], confirmedAt)
}

// replace records a state of a kind that another host has sent, and which does not prove that it is the newest.
func (r *recency) replace(kind string) { r.former = r.current[kind] }

// relay records a copy or a change that the controller made at now or later. version is that of the applied configuration. A
// controller of an earlier version sends no ages: then the states of a full copy may be as old as the last confirmation of this
// copy.
func (r *recency) relay(now time.Duration, version int64, change Change) {
	r.since, r.begins = now, map[objectName]time.Duration{}
	for _, kind := range []string{translator.UpstreamKind, translator.TakeOutKind} {
		if change.Full {
			r.since = min(r.since, r.current[kind])
		}
		r.current[kind] = max(r.current[kind], now-change.Age)
	}
	if change.Configuration <= version {
		r.current[translator.ConfigurationKind] = max(r.current[translator.ConfigurationKind], now-change.Age)
	}
	for id, age := range change.DrainAges {
		r.begins[objectName{translator.UpstreamKind, id}] = now - age
	}
	for domain, age := range change.TakeOutAges {
		r.begins[objectName{translator.TakeOutKind, domain}] = now - age
	}
}

// begin returns the earliest time at which a state of an object may have begun.
func (r *recency) begin(kind, name string) time.Duration {
	if at, ok := r.begins[objectName{kind, name}]; ok {
		return at
	}
	return r.since
}
