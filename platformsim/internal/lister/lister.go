// Package lister keeps the list of hosts and snapshots of its past states, so that an outdated list can be returned.
//
// Usage:
//
//	list := lister.New()
//	list.Set(now, lister.Host{Name: "a"})
//	hosts := list.At(now - lag)
package lister

import (
	"sort"
	"sync"
	"time"
)

// snapshotLimit bounds the number of snapshots. Above it the older half is dropped.
const snapshotLimit = 4096

// Host is one entry of the list. Name identifies it.
type Host struct {
	Name          string
	Address       string
	FailureDomain string
	State         string
}

type snapshot struct {
	at    time.Duration
	hosts []Host
}

// List is the list of hosts with its history. It is safe for concurrent use. Times are measured since the start of the
// process.
type List struct {
	mu        sync.Mutex
	hosts     map[string]Host
	snapshots []snapshot
}

// New returns an empty list without history.
func New() *List {
	return &List{hosts: map[string]Host{}}
}

// Set adds the host or replaces the one of the same name.
func (l *List) Set(now time.Duration, host Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[host.Name] = host
	l.record(now)
}

// Remove removes the host and reports whether it was listed.
func (l *List) Remove(now time.Duration, name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.hosts[name]
	delete(l.hosts, name)
	l.record(now)
	return ok
}

// At returns the hosts that were listed at the time, sorted by name. The caller must not modify the result.
func (l *List) At(at time.Duration) []Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := sort.Search(len(l.snapshots), func(i int) bool { return l.snapshots[i].at > at })
	if next == 0 {
		return nil
	}
	return l.snapshots[next-1].hosts
}

func (l *List) record(now time.Duration) {
	hosts := make([]Host, 0, len(l.hosts))
	for _, host := range l.hosts {
		hosts = append(hosts, host)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	l.snapshots = append(l.snapshots, snapshot{at: now, hosts: hosts})
	if len(l.snapshots) > snapshotLimit {
		l.snapshots = append([]snapshot(nil), l.snapshots[snapshotLimit/2:]...)
	}
}
