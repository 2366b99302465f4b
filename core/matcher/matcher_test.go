package matcher_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/matcher"
)

// TestMatch checks that the route with the longest prefix is selected, regardless of the case and the port of the host
// name, and that only a route with a higher priority than another route of its service is urgent.
func TestMatch(t *testing.T) {
	config := matcher.Config{Hosts: map[string][]matcher.Route{"a.example": {
		{Name: "short", Prefix: "/a/", Priority: 2, Split: []matcher.Share{{Service: "s", Weight: 1}}},
		{Name: "long", Prefix: "/a/b/", Priority: 1, Split: []matcher.Share{{Service: "s", Weight: 1}}},
	}}}
	config.Sort()
	tests := []struct{ host, path, route string }{
		{"a.example", "/a/x", "short"},
		{"A.EXAMPLE:80", "/a/b/x", "long"},
		{"a.example", "/a/b", "short"},
		{"a.example", "/b/", ""},
		{"b.example", "/a/x", ""},
	}
	for _, tt := range tests {
		t.Run(tt.host+tt.path, func(t *testing.T) {
			route, ok := config.Match(tt.host, tt.path)
			assert.Equal(t, ok, tt.route != "")
			if ok {
				assert.Equal(t, route.Name, tt.route)
				assert.Equal(t, route.Urgent, route.Name == "long")
			}
		})
	}
}

// TestChooseDistributesByWeight checks that the services get shares of the requests in proportion to their weights, and
// that equal ids get the same service.
func TestChooseDistributesByWeight(t *testing.T) {
	route := matcher.Route{Split: []matcher.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	const requests = 5000
	for i := range requests {
		id := fmt.Sprintf("%016x", i*7919)
		counts[route.Choose(id)]++
		assert.Equal(t, route.Choose(id), route.Choose(id))
	}
	assert.Assert(t, counts["b"] > requests*8/100 && counts["b"] < requests*12/100, "%v", counts)
}
