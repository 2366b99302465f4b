// Package inspector checks a version of the configuration before it is sent, and lists how two versions differ.
//
// The daemon applies what it can use of a configuration and cannot tell a mistake from an intention. The checks name entries that
// are wrong, entries that no request can reach, and limits that contradict each other, each with its place.
//
// # Usage
//
//	document, err := translator.Document(data)
//	for _, finding := range inspector.Check(document) { ... }
//	for _, difference := range inspector.Compare(inForce, document) { ... }
//
// Findings and differences name client accounts, and never their keys.
package inspector

import (
	"fmt"
	"math"
	"strings"

	"rhubarbtrack.example/core/matcher"
)

// Document is a version of the configuration as it was written: with duplicates, in the order of the file, and without defaults.
type Document struct {
	Version     int64
	Services    []matcher.Service
	Hosts       []Host
	Limits      matcher.Limits
	HasAccounts bool
	Accounts    []matcher.Account
}

// Host is an entry of a host name.
type Host struct {
	Name   string
	Routes []Route
}

// Route is a route as it was written. Split holds the parts of the entry, or its only service.
type Route struct {
	matcher.Route
	Kind string // of requests; "" if there is none
	// HasBoth is set if the entry names a service beside a split, which is ignored.
	HasBoth bool
}

// Kind classifies findings.
type Kind string

// Kinds of findings.
const (
	// Wrong is an entry that is rejected, or that serves no request properly.
	Wrong Kind = "error"
	// Unreachable is an entry that no request can reach.
	Unreachable Kind = "never-matches"
	// Contradiction is a limit that has no effect or excludes what another one allows.
	Contradiction Kind = "contradiction"
)

// Finding is one fault of a configuration.
type Finding struct {
	Kind   Kind
	Place  string // the entry, such as route "a" of host "b"
	Reason string
}

// MaxAttempts is the number of attempts of one request that a host makes at most.
const MaxAttempts = 3

type checker struct {
	document Document
	services map[string]bool // defined ones
	used     map[string]bool // services that a route names
	findings []Finding
}

func (c *checker) add(kind Kind, place, format string, args ...any) {
	c.findings = append(c.findings, Finding{kind, place, fmt.Sprintf(format, args...)})
}

// Check returns all findings in the order of the document. A correct document has none.
func Check(document Document) []Finding {
	c := &checker{document: document, services: map[string]bool{}, used: map[string]bool{}}
	if document.Version <= 0 {
		c.add(Wrong, "version", "must be above 0, got %d", document.Version)
	}
	for _, s := range document.Services {
		c.checkService(s)
	}
	c.checkLimits(document.Limits)
	c.checkHosts()
	for _, s := range document.Services {
		if !c.used[s.Name] {
			c.add(Unreachable, servicePlace(s.Name), "no route names it")
		}
	}
	c.checkAccounts()
	return c.findings
}

func servicePlace(name string) string      { return fmt.Sprintf("service %q", name) }
func hostPlace(name string) string         { return fmt.Sprintf("host %q", name) }
func accountPlace(name string) string      { return fmt.Sprintf("client account %q", name) }
func routePlace(host, route string) string { return fmt.Sprintf("route %q of host %q", route, host) }

func (c *checker) checkService(s matcher.Service) {
	place := servicePlace(s.Name)
	if s.Name == "" {
		c.add(Wrong, place, "has no name")
	}
	if c.services[s.Name] {
		c.add(Wrong, place, "is defined twice; the last definition counts")
	}
	c.services[s.Name] = true
	if !strings.HasPrefix(s.HealthPath, "/") {
		c.add(Wrong, place, "the path of health checks must begin with a slash, got %q", s.HealthPath)
	}
	if s.MaxConnections < 1 {
		c.add(Wrong, place, "must allow at least one connection to an upstream, got %d", s.MaxConnections)
	}
	switch {
	case s.ColdRate < 0 || math.IsNaN(s.ColdRate):
		c.add(Wrong, place, "the rate of cold upstreams must not be negative, got %v", s.ColdRate)
	case s.ColdTime > 0 && s.ColdRate == 0:
		c.add(Contradiction, place, "upstreams are cold for %s, and the rate 0 does not limit their requests", s.ColdTime)
	case s.ColdTime == 0 && s.ColdRate > 0:
		c.add(Contradiction, place, "the rate of cold upstreams has no effect, because none is ever cold")
	}
}

func (c *checker) checkLimits(l matcher.Limits) {
	for _, limit := range []struct {
		name  string
		value int64
	}{
		{"the size of headers", int64(l.HeaderBytes)}, {"the size of bodies", l.BodyBytes},
		{"the time for headers", int64(l.HeaderTimeout)}, {"the idle time", int64(l.IdleTimeout)},
	} {
		if limit.value <= 0 {
			c.add(Wrong, "limits", "%s must be above 0", limit.name)
		}
	}
}

func (c *checker) checkHosts() {
	if len(c.document.Hosts) == 0 {
		c.add(Wrong, "hosts", "there is none, so no request has a route")
	}
	first := map[string]map[string]string{} // routes by host name and prefix
	for _, host := range c.document.Hosts {
		place, name := hostPlace(host.Name), strings.ToLower(host.Name)
		switch {
		case name == "":
			c.add(Wrong, place, "has no name")
		case strings.ContainsAny(name, ":/ "):
			c.add(Unreachable, place, "requests are matched by the name alone, without a port or path")
		}
		if first[name] != nil {
			c.add(Unreachable, place, "is listed twice; prefixes that both entries have match in the first one only")
		} else {
			first[name] = map[string]string{}
		}
		if len(host.Routes) == 0 {
			c.add(Wrong, place, "has no routes")
		}
		for _, r := range host.Routes {
			c.checkRoute(host.Name, r)
			if other, ok := first[name][r.Prefix]; ok {
				c.add(Unreachable, routePlace(host.Name, r.Name), "route %q has the same prefix %q and comes first", other, r.Prefix)
				continue
			}
			first[name][r.Prefix] = r.Name
		}
	}
}

func (c *checker) checkRoute(host string, r Route) {
	place := routePlace(host, r.Name)
	if r.Name == "" {
		c.add(Wrong, place, "has no name")
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		c.add(Wrong, place, "the prefix must begin and end with a slash, got %q", r.Prefix)
	case strings.ContainsAny(r.Prefix, "?# "):
		c.add(Unreachable, place, "paths are matched without query, so that prefix %q matches none", r.Prefix)
	}
	if r.Kind == "" {
		c.add(Wrong, place, "does not say whether requests may be repeated")
	}
	switch {
	case r.Timeout <= 0:
		c.add(Wrong, place, "has no time-out")
	case r.Objective <= 0:
		c.add(Wrong, place, "has no latency objective")
	case r.Objective > r.Timeout:
		c.add(Wrong, place, "the latency objective %s is over the time-out %s", r.Objective, r.Timeout)
	}
	switch {
	case r.MaxAttempts < 1:
		c.add(Wrong, place, "must allow at least one attempt, got %d", r.MaxAttempts)
	case r.MaxAttempts > MaxAttempts:
		c.add(Contradiction, place, "allows %d attempts, and hosts make at most %d", r.MaxAttempts, MaxAttempts)
	}
	if r.HasBoth {
		c.add(Contradiction, place, "names a service and a split; the service is ignored")
	}
	c.checkSplit(place, r.Split)
}

func (c *checker) checkSplit(place string, split []matcher.Share) {
	total, negative := 0.0, false
	seen := map[string]bool{}
	for _, part := range split {
		c.used[part.Service] = true
		switch {
		case part.Service == "":
			c.add(Wrong, place, "names no service")
		case !c.services[part.Service]:
			c.add(Wrong, place, "service %q is not defined", part.Service)
		case seen[part.Service]:
			c.add(Contradiction, place, "service %q has two parts of the split", part.Service)
		}
		seen[part.Service] = true
		negative = negative || part.Weight < 0 || math.IsNaN(part.Weight)
		total += part.Weight
	}
	switch {
	case negative:
		c.add(Wrong, place, "a weight is negative")
	case total <= 0 || math.IsInf(total, 0):
		c.add(Wrong, place, "the weights sum to nothing")
	}
}

func (c *checker) checkAccounts() {
	if c.document.HasAccounts && len(c.document.Accounts) == 0 {
		c.add(Wrong, "client accounts", "the list is empty, so only public routes can be used")
	}
	owners, names := map[matcher.KeyDigest]string{}, map[string]bool{}
	for _, a := range c.document.Accounts {
		place := accountPlace(a.Name)
		if a.Name == "" {
			c.add(Wrong, place, "has no name")
		}
		if names[a.Name] {
			c.add(Wrong, place, "is listed twice")
		}
		names[a.Name] = true
		if len(a.Keys) == 0 {
			c.add(Unreachable, place, "has no key")
		}
		for i, key := range a.Keys {
			owner, taken := owners[key]
			switch {
			case key == matcher.DigestKey(""):
				c.add(Wrong, place, "key %d is empty", i+1)
			case taken && owner == a.Name:
				c.add(Unreachable, place, "key %d is listed twice", i+1)
			case taken:
				c.add(Wrong, place, "key %d is also a key of client account %q", i+1, owner)
			default:
				owners[key] = a.Name
			}
		}
		switch {
		case a.Rate < 0 || a.Burst < 0 || math.IsNaN(a.Rate+a.Burst):
			c.add(Wrong, place, "rate and burst must not be negative, got %v and %v", a.Rate, a.Burst)
		case a.Rate > 0 && a.Burst < 1:
			c.add(Contradiction, place, "the burst %v is below one request, so that the rate %v admits none", a.Burst, a.Rate)
		case a.Rate == 0 && a.Burst > 0:
			c.add(Contradiction, place, "the burst %v has no effect without a rate", a.Burst)
		}
	}
}

// CheckOrder returns the findings about a document that replaces the version in force.
func CheckOrder(inForce, document Document) []Finding {
	if document.Version > inForce.Version {
		return nil
	}
	return []Finding{{Contradiction, "version", fmt.Sprintf("%d is not above the version in force, %d", document.Version, inForce.Version)}}
}
