package apply_test

import (
	"context"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/command/apply"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

const validFile = `
windows:
  - {name: w, failure-domain: east, weekday: sunday, start: 03:00, length-minutes: 60, time-zone: Europe/Rome}
upstreams:
  - {name: p1, service: marks, failure-domain: east, address: "10.0.0.1:80", slots: 8, connections: 9}
services:
  - {name: marks, keyed: true, slice-count: 8, rules: [{path: /a, class: safe}]}
failure-domains:
  - {name: east}
`

func newProvider(t *testing.T, file string, out *strings.Builder, sent *[]*rhubarbtrackv1.PutResourceRequest) *provider.Provider {
	p := &provider.Provider{
		Context:        t.Context(),
		Streams:        &printer.Streams{In: strings.NewReader(file), Out: out, Err: out},
		NewOperationID: func() string { return "op" },
	}
	p.Calls.ListResources = func(context.Context, *rhubarbtrackv1.ListResourcesRequest) (
		*rhubarbtrackv1.ListResourcesResponse, error) {
		upstream := &rhubarbtrackv1.Upstream{
			Name: "p1", Service: "marks", FailureDomain: "east", Address: "10.0.0.1:80", Slots: 6, Connections: 9, Drained: true,
		}
		domain := &rhubarbtrackv1.FailureDomain{Name: "east", TakenOut: true}
		service := &rhubarbtrackv1.Service{
			Name: "marks", Keyed: true, KeyHeader: "Rhubarbtrack-Key", SliceCount: 8,
			Rules: []*rhubarbtrackv1.Rule{{Path: "/a", Class: rhubarbtrackv1.Class_CLASS_SAFE}},
		}
		return &rhubarbtrackv1.ListResourcesResponse{Resources: []*rhubarbtrackv1.Resource{
			{Version: 5, Value: &rhubarbtrackv1.Resource_FailureDomain{FailureDomain: domain}},
			{Version: 6, Value: &rhubarbtrackv1.Resource_Service{Service: service}},
			{Version: 7, Value: &rhubarbtrackv1.Resource_Upstream{Upstream: upstream}},
		}}, nil
	}
	p.Calls.PutResource = func(_ context.Context, request *rhubarbtrackv1.PutResourceRequest) (
		*rhubarbtrackv1.PutResourceResponse, error) {
		*sent = append(*sent, request)
		return &rhubarbtrackv1.PutResourceResponse{Result: &rhubarbtrackv1.ChangeResult{Version: 9}}, nil
	}
	return p
}

// Guards against three faults: writes of unchanged objects, a write before the objects that it refers to exist, and a
// run that ends the drain of an upstream because the file does not mention it.
func TestApply(t *testing.T) {
	var out strings.Builder
	var sent []*rhubarbtrackv1.PutResourceRequest
	command := apply.New(newProvider(t, validFile, &out, &sent), nil)
	_, err := flags.ParseArgs(command.Options, []string{"-f", "-", "--yes"})
	assert.NilError(t, err)
	assert.NilError(t, command.Options.Execute(nil))
	assert.Equal(t, len(sent), 2)
	assert.Equal(t, sent[0].GetExpectedVersion(), uint64(7))
	assert.Equal(t, sent[0].GetOperationId(), "op-3")
	assert.Assert(t, sent[0].GetResource().GetUpstream().GetDrained())
	assert.Equal(t, sent[1].GetExpectedVersion(), uint64(0))
	assert.Equal(t, sent[1].GetResource().GetWindow().GetStart(), "03:00")
	assert.Equal(t, out.String(), `modify	upstream marks.p1	slots	6	8
create	window w	name		w
create	window w	failure-domain		east
create	window w	weekday		sunday
create	window w	start		03:00
create	window w	length-minutes		60
create	window w	time-zone		Europe/Rome
upstream marks.p1 has version 9, operation op-3
window w has version 9, operation op-4
`)
}

// A dry run, a missing confirmation or one invalid entry must prevent every write. Otherwise the file would be applied
// in part.
func TestApplyWritesNothing(t *testing.T) {
	cases := []struct {
		name, file string
		args       []string
		code       int
	}{
		{"dry run", validFile, []string{"-f", "-", "--dry-run"}, reporter.CodeOK},
		{"not confirmed", validFile, []string{"-f", "-"}, reporter.CodeUsage},
		{"unknown list", "service: []", []string{"-f", "-", "--yes"}, reporter.CodeUsage},
		{"unknown field", validFile + "  - {name: west, out: true}", []string{"-f", "-", "--yes"}, reporter.CodeUsage},
		{"invalid value", validFile + "  - {name: West}", []string{"-f", "-", "--yes"}, reporter.CodeUsage},
		{"duplicate object", validFile + "  - {name: east}", []string{"-f", "-", "--yes"}, reporter.CodeUsage},
		{"no change", "services: []", []string{"-f", "-", "--yes"}, reporter.CodeOK},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var out strings.Builder
			var sent []*rhubarbtrackv1.PutResourceRequest
			command := apply.New(newProvider(t, test.file, &out, &sent), nil)
			_, err := flags.ParseArgs(command.Options, test.args)
			assert.NilError(t, err)
			assert.Equal(t, reporter.Code(command.Options.Execute(nil)), test.code)
			assert.Equal(t, len(sent), 0)
		})
	}
}
