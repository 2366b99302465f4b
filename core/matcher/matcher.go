// Package matcher holds one version of the configuration and finds the route of a request in it.
//
// # Usage
//
//	route, ok := config.Match("shop.example", "/orders/17")
//	service := route.Choose(attempt)
//
// A Config is immutable once it is shared. Among the routes of a host name, the one with the longest prefix of the path
// is chosen.
package matcher

import (
	"net"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config is one version of the configuration in full.
type Config struct {
	Version  int64
	Services map[string]Service
	Hosts    map[string][]Route // by lower-case host name; the longest prefix first
	Limits   Limits
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int           // of one upstream, over all hosts
	ColdTime       time.Duration // an upstream stays cold for this long after its start
	ColdRate       float64       // requests per second that a cold upstream bears, over all hosts
	Keyed          bool          // each key has one owner among the upstreams
}

// Route says what happens to the requests under a prefix.
type Route struct {
	Name        string
	Prefix      string // begins and ends with a slash
	Idempotent  bool
	Timeout     time.Duration // a request gets its final answer within this time
	Objective   time.Duration // an answer within this time is fully useful
	Priority    int           // 0 is the highest
	MaxAttempts int           // upstreams to which one request may be sent
	Split       []Share       // at least one
	// Urgent routes have a higher priority than another route of one of their services. Set by Sort.
	Urgent bool
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Sort puts the routes of every host name in the order that Match expects, and marks the urgent ones.
func (c *Config) Sort() {
	lowest := map[string]int{} // service to its largest number, which is its lowest priority
	for _, routes := range c.Hosts {
		for _, r := range routes {
			for _, share := range r.Split {
				lowest[share.Service] = max(lowest[share.Service], r.Priority)
			}
		}
	}
	for _, routes := range c.Hosts {
		for i := range routes {
			for _, share := range routes[i].Split {
				routes[i].Urgent = routes[i].Urgent || routes[i].Priority < lowest[share.Service]
			}
		}
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
}

// Match returns the route for a host name, with or without a port, and a path without its query.
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

// Choose returns the service for a request. Requests with the same id get the same service, and all services get
// their weight's share of many ids.
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
