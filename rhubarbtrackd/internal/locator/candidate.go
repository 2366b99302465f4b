package locator

import (
	"sync"

	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/hasher"
)

// maxCandidates is the number of hosts per service that offer themselves for admission roles. Each sends five heartbeats a
// second to the controller, so the number bounds the work of both; 16 include every host of today's users but none of
// their failure domains alone.
const maxCandidates = 16

// candidateCache remembers the answers of IsCandidate for one list of hosts, since each takes a rank of every host.
type candidateCache struct {
	results sync.Map // by service and host
}

type candidateKey struct {
	service, host string
}

// IsCandidate reports whether a host is among the first live ones by a rank that differs between services.
func (l *Locator) IsCandidate(service, host string) bool {
	current := l.state.Load()
	key := candidateKey{service: service, host: host}
	if cached, ok := current.candidateCache.results.Load(key); ok {
		return cached.(bool)
	}
	result := isCandidate(current.members, service, host)
	current.candidateCache.results.Store(key, result)
	return result
}

func isCandidate(members map[string]framer.Member, service, host string) bool {
	own := rank(service, host)
	lower := 0
	for name, member := range members {
		if member.State == framer.Live && rank(service, name) < own {
			lower++
		}
	}
	return lower < maxCandidates
}

func rank(service, host string) uint64 {
	return hasher.Sum(service + "\x00" + host)
}
