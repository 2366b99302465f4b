package operator_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbtrack.example/rhubarbtrackd/internal/operator"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// Copies of one change that arrive at once must take effect once and all succeed, while of different changes of the same
// version just one may succeed.
func TestConcurrentChanges(t *testing.T) {
	cases := []struct {
		name      string
		operation func(i int) string
		succeeded int
	}{
		{"copies", func(int) string { return "op" }, 6},
		{"different", func(i int) string { return fmt.Sprintf("op-%d", i) }, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			version := filled(t, f)
			known := len(f.store.records(t, f))
			f.store.writes = 0
			var group sync.WaitGroup
			errs := make([]error, 6)
			for i := range errs {
				group.Go(func() {
					_, errs[i] = drain(t, f.as("olga", operator.RoleOperate), true, version, test.operation(i))
				})
			}
			group.Wait()
			succeeded := 0
			for _, err := range errs {
				if err == nil {
					succeeded++
					continue
				}
				assert.Equal(t, faultOf(t, err).GetKind(), rhubarbtrackv1.FaultKind_FAULT_KIND_CONFLICT)
			}
			assert.Equal(t, succeeded, test.succeeded)
			assert.Equal(t, f.store.writes, 1)
			assert.Equal(t, len(f.store.records(t, f)), known+len(errs))
		})
	}
}

// Whatever is lost, an answer must agree with what the store did: a success took effect, a definite refusal did not, and no
// operation took effect twice.
func TestResponsesMatchStore(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFixture(t)
		olga := f.as("olga", operator.RoleOperate)
		version := filled(t, f)
		succeeded, unknown := map[string]bool{}, map[string]bool{}
		for range rapid.IntRange(1, 12).Draw(r, "calls") {
			operation := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "operation")
			f.store.next = fault(rapid.IntRange(int(none), int(refuse)).Draw(r, "fault"))
			f.store.audit = fault(rapid.IntRange(int(none), int(refuse)).Draw(r, "audit fault"))
			f.store.setDown(rapid.IntRange(0, 4).Draw(r, "down") == 0)
			f.now = f.now.Add(time.Second)
			// Each operation is one change, so that its repetition is a retry.
			result, err := drain(t, olga, operation != "b", version, operation)
			switch {
			case err == nil:
				succeeded[operation] = true
				version = max(version, result.GetVersion())
			case faultOf(t, err).GetKind() == rhubarbtrackv1.FaultKind_FAULT_KIND_UNKNOWN:
				unknown[operation] = true
			case faultOf(t, err).GetKind() == rhubarbtrackv1.FaultKind_FAULT_KIND_CONFLICT:
				version = faultOf(t, err).GetCurrentVersion()
			}
		}
		f.store.audit = none
		f.store.setDown(false)
		assert.NilError(r, f.server.Maintain(t.Context()))
		for _, operation := range []string{"a", "b", "c"} {
			applied := f.store.applied[operation]
			recorded := f.recorded(t, operation)
			assert.Assert(r, recorded || applied == 0, "operation %s took effect without a record", operation)
			assert.Assert(r, applied <= 1, "operation %s took effect %d times", operation, applied)
			if succeeded[operation] {
				assert.Equal(r, applied, 1, "operation %s succeeded without effect", operation)
			}
			if !succeeded[operation] && !unknown[operation] {
				assert.Equal(r, applied, 0, "operation %s was refused and took effect", operation)
			}
		}
	})
}

// recorded reports whether an audit record admits that the operation may have taken effect.
func (f *fixture) recorded(t *testing.T, operation string) bool {
	t.Helper()
	response, err := f.as("vera", operator.RoleView).ListAudit(t.Context(),
		connect.NewRequest(&rhubarbtrackv1.ListAuditRequest{}))
	assert.NilError(t, err)
	for _, record := range response.Msg.GetRecords() {
		if record.GetOperationId() == operation && record.GetResult() != rhubarbtrackv1.AuditResult_AUDIT_RESULT_REFUSED {
			return true
		}
	}
	return false
}
