package locator

import (
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/hasher"
)

// candidates is the number of hosts per service that offer themselves for admission roles. One controller serves at most
// 32 upstreams, each with one admission host.
const candidates = 32

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
