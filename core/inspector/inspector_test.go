package inspector_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/inspector"
	"rhubarbtrack.example/core/matcher"
)

func service(name string) matcher.Service {
	return matcher.Service{Name: name, HealthPath: "/health", MaxConnections: 100, ColdTime: 3 * time.Second, ColdRate: 4}
}

func route(name, prefix, to string) inspector.Route {
	return inspector.Route{Kind: "idempotent", Route: matcher.Route{
		Name: name, Prefix: prefix, Idempotent: true, Timeout: 2 * time.Second, Objective: time.Second, MaxAttempts: 2,
		Split: []matcher.Share{{Service: to, Weight: 1}},
	}}
}

// valid returns a configuration without findings: two services, two hosts, two client accounts.
func valid() inspector.Document {
	return inspector.Document{
		Version:  7,
		Services: []matcher.Service{service("marks"), service("labels")},
		Hosts: []inspector.Host{
			{"a.example", []inspector.Route{route("all", "/", "marks"), route("labels", "/labels/", "labels")}},
			{"b.example", []inspector.Route{route("b", "/", "marks")}},
		},
		Limits:      matcher.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		HasAccounts: true,
		Accounts: []matcher.Account{
			{Name: "library", Keys: []matcher.KeyDigest{matcher.DigestKey("secret-1"), matcher.DigestKey("secret-2")}, Rate: 10, Burst: 10},
			{Name: "school", Keys: []matcher.KeyDigest{matcher.DigestKey("secret-3")}},
		},
	}
}

// TestCheck checks that each fault that is put into a valid configuration is found, with its place, and nothing else.
func TestCheck(t *testing.T) {
	const (
		wrong         = inspector.Wrong
		unreachable   = inspector.Unreachable
		contradiction = inspector.Contradiction
	)
	first := func(d *inspector.Document) *inspector.Route { return &d.Hosts[0].Routes[0] }
	tests := []struct {
		name   string
		change func(d *inspector.Document)
		kind   inspector.Kind
		place  string
		reason string // a part of it
	}{
		{"no version", func(d *inspector.Document) { d.Version = 0 }, wrong, "version", "above 0"},
		{"service without a name", func(d *inspector.Document) {
			d.Services[1].Name, d.Hosts[0].Routes[1].Split[0].Service = "", "marks"
			d.Hosts[1].Routes[0].Split = append(d.Hosts[1].Routes[0].Split, matcher.Share{Service: "marks"})[:1]
		}, wrong, `service ""`, "has no name"},
		{"service defined twice", func(d *inspector.Document) { d.Services = append(d.Services, service("marks")) }, wrong, `service "marks"`, "defined twice"},
		{"health path", func(d *inspector.Document) { d.Services[0].HealthPath = "health" }, wrong, `service "marks"`, "slash"},
		{"no connections", func(d *inspector.Document) { d.Services[0].MaxConnections = 0 }, wrong, `service "marks"`, "connection"},
		{"cold rate 0", func(d *inspector.Document) { d.Services[0].ColdRate = 0 }, contradiction, `service "marks"`, "does not limit"},
		{"cold rate below 0", func(d *inspector.Document) { d.Services[0].ColdRate = -1 }, wrong, `service "marks"`, "negative"},
		{"cold rate without a cold time", func(d *inspector.Document) { d.Services[0].ColdTime = 0 }, contradiction, `service "marks"`, "no effect"},
		{"service that no route names", func(d *inspector.Document) { d.Services = append(d.Services, service("old")) }, unreachable, `service "old"`, "no route"},
		{"no size of headers", func(d *inspector.Document) { d.Limits.HeaderBytes = 0 }, wrong, "limits", "size of headers"},
		{"no idle time", func(d *inspector.Document) { d.Limits.IdleTimeout = 0 }, wrong, "limits", "idle time"},
		{"host without a name", func(d *inspector.Document) { d.Hosts[1].Name = "" }, wrong, `host ""`, "has no name"},
		{"host with a port", func(d *inspector.Document) { d.Hosts[1].Name = "b.example:443" }, unreachable, `host "b.example:443"`, "port"},
		{"host twice, in another case", func(d *inspector.Document) {
			d.Hosts = append(d.Hosts, inspector.Host{Name: "B.example", Routes: []inspector.Route{route("b2", "/b2/", "marks")}})
		}, unreachable, `host "B.example"`, "listed twice"},
		{"host without routes", func(d *inspector.Document) {
			d.Hosts = append(d.Hosts, inspector.Host{Name: "c.example"})
		}, wrong, `host "c.example"`, "no routes"},
		{"duplicate prefix", func(d *inspector.Document) {
			d.Hosts[0].Routes = append(d.Hosts[0].Routes, route("again", "/labels/", "marks"))
		}, unreachable, `route "again" of host "a.example"`, `route "labels" has the same prefix`},
		{"prefix with a query", func(d *inspector.Document) { first(d).Prefix = "/a?b/" }, unreachable, `route "all" of host "a.example"`, "query"},
		{"prefix without an end", func(d *inspector.Document) { first(d).Prefix = "/a" }, wrong, `route "all" of host "a.example"`, "slash"},
		{"route without a name", func(d *inspector.Document) { first(d).Name = "" }, wrong, `route "" of host "a.example"`, "no name"},
		{"no kind", func(d *inspector.Document) { first(d).Kind = "" }, wrong, `route "all" of host "a.example"`, "repeated"},
		{"no time-out", func(d *inspector.Document) { first(d).Timeout = 0 }, wrong, `route "all" of host "a.example"`, "no time-out"},
		{"no objective", func(d *inspector.Document) { first(d).Objective = 0 }, wrong, `route "all" of host "a.example"`, "no latency objective"},
		{"objective over the time-out", func(d *inspector.Document) { first(d).Objective = 3 * time.Second }, wrong, `route "all" of host "a.example"`, "over the time-out 2s"},
		{"no attempts", func(d *inspector.Document) { first(d).MaxAttempts = 0 }, wrong, `route "all" of host "a.example"`, "one attempt"},
		{"too many attempts", func(d *inspector.Document) { first(d).MaxAttempts = 5 }, contradiction, `route "all" of host "a.example"`, "at most 3"},
		{"service beside a split", func(d *inspector.Document) { first(d).HasBoth = true }, contradiction, `route "all" of host "a.example"`, "ignored"},
		{"unknown service", func(d *inspector.Document) { first(d).Split[0].Service = "mark" }, wrong, `route "all" of host "a.example"`, `service "mark" is not defined`},
		{"no service", func(d *inspector.Document) { first(d).Split[0].Service = "" }, wrong, `route "all" of host "a.example"`, "names no service"},
		{"weights that sum to nothing", func(d *inspector.Document) {
			first(d).Split = []matcher.Share{{Service: "marks"}, {Service: "labels"}}
		}, wrong, `route "all" of host "a.example"`, "sum to nothing"},
		{"negative weight", func(d *inspector.Document) {
			first(d).Split = []matcher.Share{{Service: "marks", Weight: 2}, {Service: "labels", Weight: -1}}
		}, wrong, `route "all" of host "a.example"`, "negative"},
		{"service twice in a split", func(d *inspector.Document) {
			first(d).Split = []matcher.Share{{Service: "marks", Weight: 2}, {Service: "marks", Weight: 1}}
		}, contradiction, `route "all" of host "a.example"`, "two parts"},
		{"empty list of accounts", func(d *inspector.Document) { d.Accounts = nil }, wrong, "client accounts", "empty"},
		{"account without a name", func(d *inspector.Document) { d.Accounts[0].Name = "" }, wrong, `client account ""`, "no name"},
		{"account twice", func(d *inspector.Document) {
			d.Accounts = append(d.Accounts, matcher.Account{Name: "school", Keys: []matcher.KeyDigest{matcher.DigestKey("secret-4")}})
		}, wrong, `client account "school"`, "listed twice"},
		{"account without keys", func(d *inspector.Document) { d.Accounts[1].Keys = nil }, unreachable, `client account "school"`, "no key"},
		{"empty key", func(d *inspector.Document) { d.Accounts[1].Keys[0] = matcher.DigestKey("") }, wrong, `client account "school"`, "key 1 is empty"},
		{"key of two accounts", func(d *inspector.Document) { d.Accounts[1].Keys[0] = matcher.DigestKey("secret-2") }, wrong, `client account "school"`, `key 1 is also a key of client account "library"`},
		{"key twice", func(d *inspector.Document) { d.Accounts[0].Keys[1] = matcher.DigestKey("secret-1") }, unreachable, `client account "library"`, "key 2 is listed twice"},
		{"burst below one request", func(d *inspector.Document) { d.Accounts[0].Burst = 0.5 }, contradiction, `client account "library"`, "below one request"},
		{"burst without a rate", func(d *inspector.Document) { d.Accounts[0].Rate = 0 }, contradiction, `client account "library"`, "without a rate"},
		{"negative rate", func(d *inspector.Document) { d.Accounts[0].Rate = -1 }, wrong, `client account "library"`, "negative"},
		{"rate that is no number", func(d *inspector.Document) { d.Accounts[0].Rate = math.NaN() }, wrong, `client account "library"`, "negative"},
	}
	assert.Equal(t, len(inspector.Check(valid())), 0, "%v", inspector.Check(valid()))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			document := valid()
			tt.change(&document)
			findings := inspector.Check(document)
			found := false
			for _, f := range findings {
				found = found || f.Kind == tt.kind && f.Place == tt.place && strings.Contains(f.Reason, tt.reason)
				assert.Assert(t, !strings.Contains(f.Reason+f.Place, "secret-"), "%v shows a key", f)
			}
			assert.Assert(t, found, "%v", findings)
			// A name that is missing or unknown also leaves a service without routes, or routes without a service.
			assert.Assert(t, len(findings) <= 2, "%v", findings)
		})
	}
}

// TestNoHosts checks that a configuration without hosts is wrong. All of its services are then without routes.
func TestNoHosts(t *testing.T) {
	document := valid()
	document.Hosts = nil
	assert.DeepEqual(t, inspector.Check(document), []inspector.Finding{
		{Kind: inspector.Wrong, Place: "hosts", Reason: "there is none, so no request has a route"},
		{Kind: inspector.Unreachable, Place: `service "marks"`, Reason: "no route names it"},
		{Kind: inspector.Unreachable, Place: `service "labels"`, Reason: "no route names it"},
	})
}

// TestCompare checks that differences are those that an operator has made, whatever the order of the entries, and that keys are only
// counted.
func TestCompare(t *testing.T) {
	tests := []struct {
		name   string
		change func(d *inspector.Document)
		want   []inspector.Difference
	}{
		{"none", func(*inspector.Document) {}, nil},
		{"order", func(d *inspector.Document) {
			d.Hosts[0], d.Hosts[1] = d.Hosts[1], d.Hosts[0]
			d.Services[0], d.Services[1] = d.Services[1], d.Services[0]
		}, nil},
		{"version and limit", func(d *inspector.Document) { d.Version, d.Limits.BodyBytes = 8, 4096 }, []inspector.Difference{
			{"version", "number", "7", "8"}, {"limits", "body-bytes", "1048576", "4096"},
		}},
		{"time-out and split", func(d *inspector.Document) {
			d.Hosts[0].Routes[0].Timeout = time.Second
			d.Hosts[0].Routes[0].Split = []matcher.Share{{Service: "marks", Weight: 90}, {Service: "labels", Weight: 10}}
		}, []inspector.Difference{
			{`route "all" of host "a.example"`, "services", "marks", "marks 90.0% + labels 10.0%"},
			{`route "all" of host "a.example"`, "timeout", "2s", "1s"},
		}},
		{"service removed", func(d *inspector.Document) { d.Services = d.Services[:1] }, []inspector.Difference{
			{`service "labels"`, "entry", "cold-rate 4, cold-time 3s, health-path /health, keyed false, max-connections 100", ""},
		}},
		{"route added", func(d *inspector.Document) {
			d.Hosts[1].Routes = append(d.Hosts[1].Routes, route("new", "/new/", "labels"))
		}, []inspector.Difference{
			{`route "new" of host "b.example"`, "entry", "", "kind idempotent, max-attempts 2, objective 1s, prefix /new/, priority 0, public false, services labels, timeout 2s"},
		}},
		{"keys", func(d *inspector.Document) { d.Accounts[0].Keys[0] = matcher.DigestKey("secret-9") }, []inspector.Difference{
			{`client account "library"`, "keys", "2, of which 1 go", "2, of which 1 are new"},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			document := valid()
			tt.change(&document)
			assert.DeepEqual(t, inspector.Compare(valid(), document), tt.want)
		})
	}
	assert.Equal(t, len(inspector.CheckOrder(valid(), valid())), 1)
}
