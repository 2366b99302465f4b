package classifier

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/configurator"
)

// Guards against the repetition of a request that must not be repeated because of a rule, a malformed rule or an
// ambiguous path.
func TestClassify(t *testing.T) {
	rules := []configurator.Rule{
		{Method: "GET", Path: "/reports/*/run", Class: configurator.NeverRepeat},
		{Path: "/shelves/*", Class: configurator.Idempotent},
		{Method: "POST", Path: "catalogue/**", Class: configurator.Safe},
		{Method: "PUT", Path: "/a/*/b/**", Class: configurator.Idempotent},
		{Method: "POST", Path: "/catalogue/orders", Class: configurator.NeverRepeat},
	}
	broken := []configurator.Rule{{Path: "/x["}, {Class: configurator.Safe}}
	all := []configurator.Rule{{Method: "DELETE", Path: "/**", Class: configurator.Idempotent}}
	for _, test := range []struct {
		name, method, path string
		rules              []configurator.Rule
		want               configurator.Class
	}{
		{"safe method without rule", "GET", "/other", rules, configurator.Safe},
		{"HEAD without rule", "HEAD", "/", nil, configurator.Safe},
		{"OPTIONS without rule", "OPTIONS", "", nil, configurator.Safe},
		{"PUT without rule", "PUT", "/other", rules, configurator.NeverRepeat},
		{"methods are case-sensitive", "get", "/other", rules, configurator.NeverRepeat},
		{"rule overrides safe method", "GET", "/reports/7/run", rules, configurator.NeverRepeat},
		{"rule with any method", "DELETE", "/shelves/7", rules, configurator.Idempotent},
		{"star matches one segment", "DELETE", "/shelves/7/8", rules, configurator.NeverRepeat},
		{"recursive pattern, no further segments", "POST", "/catalogue", rules, configurator.Safe},
		{"recursive pattern, first match applies", "POST", "/catalogue/orders", rules, configurator.Safe},
		{"recursive pattern matches full segments", "POST", "/catalogues", rules, configurator.NeverRepeat},
		{"recursive pattern with star", "PUT", "/a/1/b/2/3", rules, configurator.Idempotent},
		{"recursive pattern, path too short", "PUT", "/a/1", rules, configurator.NeverRepeat},
		{"recursive pattern alone", "DELETE", "/x/y", all, configurator.Idempotent},
		{"dot segments", "POST", "/catalogue/../orders", rules, configurator.NeverRepeat},
		{"empty segment", "GET", "/reports//7/run", rules, configurator.NeverRepeat},
		{"trailing slash", "GET", "/other/", rules, configurator.Safe},
		{"malformed pattern", "GET", "/y", broken, configurator.NeverRepeat},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, Classify(test.rules, test.method, test.path), test.want)
		})
	}
}
