// Package matcher holds one version of the configuration and finds the route of a request in it.
//
// # Usage
//
//	route, ok := config.Match("shop.example", "/orders/17")
//	service := route.Choose(attempt)
//
// A Config must not be changed once it is shared. Among the routes of a host name, Match selects the one with the
// longest prefix of the path.
package matcher

import (
	"crypto/sha256"
	"net"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config is one full version of the configuration.
type Config struct {
	Version  int64
	Services map[string]Service
	Hosts    map[string][]Route // by lower-case host name; sorted by Sort, the longest prefix first
	Limits   Limits
	// HasAccounts is set if requests need the key of a client account, except those of public routes. Accounts may be empty
	// nevertheless: then no key is valid.
	HasAccounts bool
	Accounts    []Account
	// SkippedAccounts says for each account that could not be decoded why. No key of it is valid.
	SkippedAccounts []string
}

// Account is a client account. Its callers authenticate with any of its keys.
type Account struct {
	Name string
	Keys []KeyDigest
	// Priority goes before that of the route if HasPriority is set; 0 is the highest.
	Priority    int
	HasPriority bool
	Rate        float64 // requests per second over all hosts; 0: no limit
	Burst       float64 // requests beyond that
}

// KeyDigest is the SHA-256 digest of a key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // of one upstream, over all hosts
	ColdTime       time.Duration // an upstream stays cold for this long after its start
	ColdRate       float64       // requests per second that a cold upstream can serve, over all hosts
	Keyed          bool          // each key has one owner among the upstreams
}

// Route defines how the requests with a path prefix are handled.
type Route struct {
	Name        string
	Prefix      string // begins and ends with a slash
	Idempotent  bool
	Timeout     time.Duration // a request gets its final response within this time
	Objective   time.Duration // a response within this time is fully useful
	Priority    int           // 0 is the highest
	MaxAttempts int           // maximum number of upstreams to which one request is sent
	Split       []Share       // at least one
	Public      bool          // needs no key of a client account
	// Urgent is set by Sort if the route has a higher priority than other requests of one of its services: those of another route,
	// or of a client account with a lower priority.
	Urgent bool
	// LowestPriority is set by Sort to the lowest priority of all requests of its services, see PriorityFor.
	LowestPriority int
	// Ranked is set by Sort if a client account has a priority.
	Ranked bool
}

// Share is the share of the requests of a route that is sent to one service. Weight is relative to the other shares.
type Share struct {
	Service string
	Weight  float64
}

// Limits are the limits for requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Sort sorts the routes of each host name as Match requires and sets Route.Urgent.
func (c *Config) Sort() {
	ranked := slices.ContainsFunc(c.Accounts, func(a Account) bool { return a.HasPriority })
	lowest := map[string]int{} // lowest priority by service, which is the largest number
	for _, routes := range c.Hosts {
		for i := range routes {
			routes[i].Ranked = ranked
			for _, share := range routes[i].Split {
				lowest[share.Service] = max(lowest[share.Service], c.lowestPriority(&routes[i]))
			}
		}
	}
	for _, routes := range c.Hosts {
		for i := range routes {
			for _, share := range routes[i].Split {
				routes[i].LowestPriority = max(routes[i].LowestPriority, lowest[share.Service])
			}
			routes[i].Urgent = routes[i].PriorityFor(nil) < routes[i].LowestPriority
		}
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
}

// lowestPriority returns the lowest priority that requests of a route can have.
func (c *Config) lowestPriority(r *Route) int {
	if r.Public || !r.Ranked {
		return r.PriorityFor(nil)
	}
	lowest := 0
	for i := range c.Accounts {
		lowest = max(lowest, r.PriorityFor(&c.Accounts[i]))
	}
	return lowest
}

// PriorityFor returns the priority of the requests of a client account, or of those without one if account is nil. 0 is the highest.
// The priority of the account goes before that of the route, which decides between requests of equal accounts. If no account has a
// priority, it is that of the route.
func (r *Route) PriorityFor(account *Account) int {
	if !r.Ranked {
		return r.Priority
	}
	first := r.Priority
	if account != nil && account.HasPriority {
		first = account.Priority
	}
	return max(0, first)*priorities + min(max(0, r.Priority), priorities-1)
}

// priorities is the number of priorities of routes that are distinguished.
const priorities = 1 << 10

// UrgentFor reports whether the requests of a client account have a higher priority than others of one of the services of the route.
func (r *Route) UrgentFor(account *Account) bool {
	return r.PriorityFor(account) < r.LowestPriority
}

// LargestAccounts returns up to n accounts with the highest limits.
func (c *Config) LargestAccounts(n int) []Account {
	var limited []Account
	for _, a := range c.Accounts {
		if a.Rate > 0 {
			limited = append(limited, a)
		}
	}
	sort.SliceStable(limited, func(i, j int) bool { return limited[i].Rate > limited[j].Rate })
	return limited[:min(n, len(limited))]
}

// Match returns the route for a host name, with or without a port, and a path without a query. It returns false if
// there is none.
func (c *Config) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	routes := c.Hosts[strings.ToLower(host)]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return &routes[i], true
		}
	}
	return nil, false
}

// Choose returns the name of the service for a request. Requests with the same id get the same service. Different ids
// are distributed over the services by weight.
func (r *Route) Choose(id string) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0.0
	for _, share := range r.Split {
		total += share.Weight
	}
	const precision = 1 << 53
	point := float64(xxhash.Sum64String(id)>>11) / precision * total
	for _, share := range r.Split {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
