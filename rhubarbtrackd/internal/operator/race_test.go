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

// Copies of one change that arrive concurrently must all succeed but take effect once. Of different concurrent changes
// that expect the same version, exactly one must succeed.
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
			version := createObjects(t, f)
			recordsBefore := len(f.store.records(t, f))
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
			assert.Equal(t, len(f.store.records(t, f)), recordsBefore+len(errs))
		})
	}
}

// Whichever requests and responses are lost, the result of a call must agree with the state of the store: an operation
// that succeeded took effect, one that was rejected did not, and none took effect twice. Every operation that took
// effect must have an audit record.
func TestResponsesMatchStore(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFixture(t)
		olga := f.as("olga", operator.RoleOperate)
		version := createObjects(t, f)
		succeeded, unknown := map[string]bool{}, map[string]bool{}
		for range rapid.IntRange(1, 12).Draw(r, "calls") {
			operation := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "operation")
			f.store.nextFault = fault(rapid.IntRange(int(none), int(reject)).Draw(r, "fault"))
			f.store.nextAuditFault = fault(rapid.IntRange(int(none), int(reject)).Draw(r, "audit fault"))
			f.store.setDown(rapid.IntRange(0, 4).Draw(r, "down") == 0)
			f.now = f.now.Add(time.Second)
			// The same operation always requests the same change, so that its repetition is a retry.
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
		f.store.nextAuditFault = none
		f.store.setDown(false)
		assert.NilError(r, f.server.Maintain(t.Context()))
		for _, operation := range []string{"a", "b", "c"} {
			applied := f.store.applied[operation]
			recorded := f.recorded(t, operation)
			assert.Assert(r, recorded || applied == 0, "operation %s took effect without a record", operation)
			assert.Assert(r, applied <= 1, "operation %s took effect %d times", operation, applied)
			if succeeded[operation] {
				assert.Equal(r, applied, 1, "operation %s succeeded but had no effect", operation)
			}
			if !succeeded[operation] && !unknown[operation] {
				assert.Equal(r, applied, 0, "operation %s was rejected but took effect", operation)
			}
		}
	})
}

// recorded reports whether the operation has an audit record with a result other than refused.
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
