package locator

import (
	"sync"

	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/hasher"
)

// maxCandidates is the number of hosts per service that are candidates for admission roles. Each candidate sends five
// heartbeats per second to the controller, so the number limits the load of both. 16 is enough for all hosts of present
// deployments and more than any of their failure domains has, so that the candidates are never all in one domain.
const maxCandidates = 16

// candidateCache caches results of IsCandidate for one list of hosts, because each result needs the rank of every host.
type candidateCache struct {
	results sync.Map // from candidateKey to bool
}

type candidateKey struct {
	service, host string
}

// IsCandidate reports whether a host is among the first maxCandidates live hosts by their rank for the service. The
// ranks differ between services, which spreads the roles.
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
