package elector

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rhubarbtrack.example/core/hasher"
	"rhubarbtrack.example/core/witness"
)

// WitnessCount is the number of witnesses of a service when enough hosts exist.
const WitnessCount = 5

// applyHosts notes which witnesses the platform's list lacks.
func (e *Elector) applyHosts(now time.Duration, event Hosts) {
	e.hosts = map[string]Host{}
	for _, host := range event.Hosts {
		e.hosts[host.Name] = host
	}
	members := e.members(e.record)
	for _, host := range members {
		if _, listed := e.hosts[host]; listed {
			delete(e.absent, host)
			continue
		}
		if _, noted := e.absent[host]; !noted {
			e.absent[host] = now
		}
	}
	maps.DeleteFunc(e.absent, func(host string, _ time.Duration) bool { return !slices.Contains(members, host) })
}

func (e *Elector) gone(now time.Duration, host string) bool {
	since, absent := e.absent[host]
	return absent && now-since >= AbsenceTimeout
}

func (e *Elector) present(now time.Duration, list []string) []string {
	kept := []string{}
	for _, host := range list {
		if !e.gone(now, host) {
			kept = append(kept, host)
		}
	}
	return kept
}

// lostMajority reports whether so many witnesses are gone for good that the list can confirm nobody any more. An
// uncommitted change of the list excludes it: the majorities of two lists cannot be replaced by one.
func (e *Elector) lostMajority(now time.Duration) bool {
	kept := e.present(now, e.record.Witnesses)
	return len(e.record.Previous) == 0 && len(kept) <= len(e.record.Witnesses)/2
}

// members returns the witnesses whose promises the record may need.
func (e *Elector) members(record witness.Record) []string {
	members := slices.Clone(record.Witnesses)
	for _, host := range record.Previous {
		if !slices.Contains(members, host) {
			members = append(members, host)
		}
	}
	return members
}

// choose returns a witness list: members that are still present, then hosts of the failure domains with the fewest
// members, by a rank that differs between services. The number is odd, because an even list tolerates no more losses.
func (e *Elector) choose(now time.Duration) []string {
	list := []string{}
	perDomain := map[string]int{}
	usable := e.usableHosts()
	size := min(WitnessCount, (len(usable)+1)/2*2-1)
	for _, name := range e.record.Witnesses {
		if host, ok := usable[name]; ok && !e.gone(now, name) && len(list) < size {
			list = append(list, name)
			perDomain[host.FailureDomain]++
			delete(usable, name)
		}
	}
	candidates := slices.Collect(maps.Values(usable))
	slices.SortFunc(candidates, func(a, b Host) int { return cmp.Compare(e.rank(a), e.rank(b)) })
	for len(list) < size {
		best := 0
		for i, host := range candidates {
			if perDomain[host.FailureDomain] < perDomain[candidates[best].FailureDomain] {
				best = i
			}
		}
		list = append(list, candidates[best].Name)
		perDomain[candidates[best].FailureDomain]++
		candidates = slices.Delete(candidates, best, best+1)
	}
	return list
}

func (e *Elector) rank(host Host) uint64 {
	return hasher.Sum(e.options.Service + "/" + host.Name)
}

func (e *Elector) usableHosts() map[string]Host {
	usable := map[string]Host{}
	for name, host := range e.hosts {
		if !host.Leaving {
			usable[name] = host
		}
	}
	return usable
}

// replaceWitnesses starts a new term of the holder with another list when a witness is gone or leaving. It keeps the
// right of the old term until that expires, because the promises are to the same holder.
func (e *Elector) replaceWitnesses(now time.Duration) {
	if e.written != 0 || now < e.replaceAt || e.right.Term != e.record.Term || len(e.record.Previous) > 0 {
		return
	}
	next := e.choose(now)
	if len(next) < len(e.record.Witnesses) || slices.Equal(next, e.record.Witnesses) || !e.needsReplacement(now, next) {
		return
	}
	e.replaceAt = now + replaceInterval
	e.proposed = e.record
	e.proposed.Term++
	e.proposed.Witnesses = next
	e.proposed.Previous = e.record.Witnesses
	e.log(WitnessesReplaced, e.proposed.Term)
	e.write(now, holding)
}

func (e *Elector) needsReplacement(now time.Duration, next []string) bool {
	if len(next) > len(e.record.Witnesses) {
		return true
	}
	return slices.ContainsFunc(e.record.Witnesses, func(host string) bool {
		return e.gone(now, host) || e.hosts[host].Leaving
	})
}

// commitWitnesses ends the need for the previous list once both majorities have confirmed the holder.
func (e *Elector) commitWitnesses(now time.Duration) {
	if e.written != 0 || len(e.record.Previous) == 0 || e.right.Term != e.record.Term || now < e.commitAt {
		return
	}
	e.commitAt = now + replaceInterval
	e.proposed = e.record
	e.proposed.Previous = nil
	e.log(WitnessesCommitted, e.proposed.Term)
	e.write(now, holding)
}
