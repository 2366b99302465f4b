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

// applyHosts applies the platform's host list and tracks since when witnesses are absent from it.
func (e *Elector) applyHosts(now time.Duration, event Hosts) {
	e.hosts = map[string]Host{}
	for _, host := range event.Hosts {
		e.hosts[host.Name] = host
	}
	members := e.members(e.record)
	for _, host := range members {
		if _, listed := e.hosts[host]; listed {
			delete(e.absentSince, host)
			continue
		}
		if _, known := e.absentSince[host]; !known {
			e.absentSince[host] = now
		}
	}
	maps.DeleteFunc(e.absentSince, func(host string, _ time.Duration) bool { return !slices.Contains(members, host) })
}

func (e *Elector) replaceable(now time.Duration, host string) bool {
	since, absent := e.absentSince[host]
	return absent && now-since >= AbsenceTimeout
}

func (e *Elector) retained(now time.Duration, list []string) []string {
	kept := []string{}
	for _, host := range list {
		if !e.replaceable(now, host) {
			kept = append(kept, host)
		}
	}
	return kept
}

// lostMajority reports whether the witnesses that are not replaceable are no longer a majority of the list, so that
// it can never confirm a holder again. It returns false during an uncommitted change of the list, because one new
// list cannot replace the majorities of two.
func (e *Elector) lostMajority(now time.Duration) bool {
	kept := e.retained(now, e.record.Witnesses)
	return len(e.record.Previous) == 0 && len(kept) <= len(e.record.Witnesses)/2
}

// members returns the witnesses whose promises the record may need: both lists while a change is uncommitted.
func (e *Elector) members(record witness.Record) []string {
	members := slices.Clone(record.Witnesses)
	for _, host := range record.Previous {
		if !slices.Contains(members, host) {
			members = append(members, host)
		}
	}
	return members
}

// chooseWitnesses returns a new witness list: first current witnesses that are neither replaceable nor leaving, then
// hosts of the failure domains with the fewest witnesses, in an order that differs between services. The size is odd,
// because a list with one more host tolerates no more losses.
func (e *Elector) chooseWitnesses(now time.Duration) []string {
	list := []string{}
	perDomain := map[string]int{}
	usable := e.usableHosts()
	size := min(WitnessCount, (len(usable)+1)/2*2-1)
	for _, name := range e.record.Witnesses {
		if host, ok := usable[name]; ok && !e.replaceable(now, name) && len(list) < size {
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

// replaceWitnesses starts a new term of the holder with another list when a witness is replaceable or leaving, or
// when more hosts allow a longer list. The lease of the old term stays valid until it expires, because the promises
// are to the same holder.
func (e *Elector) replaceWitnesses(now time.Duration) {
	if e.writeOperation != 0 || now < e.nextReplaceAt || e.lease.Term != e.record.Term || len(e.record.Previous) > 0 {
		return
	}
	next := e.chooseWitnesses(now)
	if len(next) < len(e.record.Witnesses) || slices.Equal(next, e.record.Witnesses) || !e.needsReplacement(now, next) {
		return
	}
	e.nextReplaceAt = now + replaceInterval
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
		return e.replaceable(now, host) || e.hosts[host].Leaving
	})
}

// commitWitnesses removes the previous list from the record once a majority of each list has confirmed the holder.
func (e *Elector) commitWitnesses(now time.Duration) {
	if e.writeOperation != 0 || len(e.record.Previous) == 0 || e.lease.Term != e.record.Term || now < e.nextCommitAt {
		return
	}
	e.nextCommitAt = now + replaceInterval
	e.proposed = e.record
	e.proposed.Previous = nil
	e.log(WitnessesCommitted, e.proposed.Term)
	e.write(now, holding)
}
