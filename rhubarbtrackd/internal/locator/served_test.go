package locator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/encoder"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/slicer"
	"rhubarbtrack.example/rhubarbtrackd/internal/locator"
)

// Guards against a host that takes callers before their requests can be routed, and against a service without upstreams
// that keeps all hosts from becoming ready.
func TestAllServedRequiresAdmissionForEveryService(t *testing.T) {
	l := locator.New()
	version := uint64(0)
	put := func(value configurator.Value) {
		version++
		body, err := encoder.Encode(value, configurator.Origin{Writer: "test", Operation: "1"})
		assert.NilError(t, err)
		object := configurator.Object{Name: value.ObjectName(), Version: version, Body: body}
		assert.NilError(t, l.MergeConfig(object))
	}
	table := func(service string, seq uint64, admission map[string]slicer.Admission) {
		next := slicer.New(service, 2)
		next.Version = slicer.Version{Term: 1, Seq: seq}
		next.Admission = admission
		l.SetTable(&next)
	}
	upstream := func(service, name string) configurator.Upstream {
		return configurator.Upstream{
			Service: service, Name: name, FailureDomain: "a", Address: "127.0.0.1:1", Slots: 1, Connections: 1,
		}
	}
	put(configurator.FailureDomain{Name: "a"})
	for _, name := range []string{"marks", "prints", "empty"} {
		put(configurator.Service{Name: name})
	}
	for _, u := range []configurator.Upstream{upstream("marks", "u1"), upstream("marks", "u2"), upstream("prints", "u1")} {
		put(u)
	}
	admitted := func(upstream, host string) map[string]slicer.Admission {
		return map[string]slicer.Admission{upstream: {Host: host, Epoch: 1}}
	}
	steps := []struct {
		name   string
		do     func()
		served bool
	}{
		{"no tables", func() {}, false},
		{"tables without admission", func() { table("marks", 1, nil); table("prints", 1, nil) }, false},
		{"one of two services", func() { table("marks", 2, admitted("marks.u2", "host-1")) }, false},
		{"hosts unknown", func() { table("prints", 2, admitted("prints.u1", "host-2")) }, false},
		{"one host known", func() { l.SetMembers([]framer.Member{{Name: "host-1"}}) }, false},
		{"both hosts known", func() { l.SetMembers([]framer.Member{{Name: "host-1"}, {Name: "host-2"}}) }, true},
		{"upstream not configured", func() { table("prints", 3, admitted("prints.u9", "host-2")) }, false},
	}
	for _, step := range steps {
		step.do()
		assert.Equal(t, l.AllServed(), step.served, step.name)
	}
}
