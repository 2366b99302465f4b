package locator

import (
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/hasher"
)

// candidates is the number of hosts per service that offer themselves for admission roles. Each sends five heartbeats a
// second to the controller, so the number bounds the work of both; 16 include every host of today's users but none of
// their failure domains alone.
const candidates = 16

// IsCandidate reports whether a host is among the first live ones by a rank that differs between services.
func IsCandidate(members map[string]framer.Member, service, host string) bool {
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
