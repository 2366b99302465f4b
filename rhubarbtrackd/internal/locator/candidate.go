package locator

import (
	"sync"

	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/hasher"
)

// candidates is the number of hosts per service that offer themselves for admission roles. Each sends five heartbeats a
// second to the controller, so the number bounds the work of both; 16 include every host of today's users but none of
// their failure domains alone.
const candidates = 16

// candidacies remembers the answers of IsCandidate for one list of hosts, since each takes a rank of every host.
type candidacies struct {
	known sync.Map // by service and host
}

type candidacy struct {
	service, host string
}

// IsCandidate reports whether a host is among the first live ones by a rank that differs between services.
func (l *Locator) IsCandidate(service, host string) bool {
	current := l.state.Load()
	asked := candidacy{service: service, host: host}
	if answer, ok := current.candidacies.known.Load(asked); ok {
		return answer.(bool)
	}
	answer := isCandidate(current.members, service, host)
	current.candidacies.known.Store(asked, answer)
	return answer
}

func isCandidate(members map[string]framer.Member, service, host string) bool {
	own := rank(service, host)
	better := 0
	for name, member := range members {
		if member.State == framer.Live && rank(service, name) < own {
			better++
		}
	}
	return better < candidates
}

func rank(service, host string) uint64 {
	return hasher.Sum(service + "\x00" + host)
}
