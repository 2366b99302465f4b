package connector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/apportioner"
)

// Guards against tokens that are lost or changed between a host and the controller, and against fields that hosts of earlier versions
// would get.
func TestExtensionsCarryTokens(t *testing.T) {
	report := Report{Host: "h", SentAt: time.Second, Quotas: apportioner.Report{Term: 3, Ledger: 4, Rows: []apportioner.ReportRow{
		{Account: 1 << 63, Spent: 5, Returned: 6, Refunded: 7, Asked: 8, Waiting: 9},
	}}}
	grants := &apportioner.Grants{Ledger: 4, Confirms: true, Rows: []apportioner.GrantRow{
		{Account: 1 << 63, Granted: 5, Keep: 6, Wait: 700 * time.Millisecond},
	}}
	for _, extended := range []bool{true, false} {
		data, err := encodeReport(report, extended)
		assert.NilError(t, err)
		gotReport, err := decodeReport(data)
		assert.NilError(t, err)
		data, err = encodeHeartbeat(0, Heartbeat{Term: 3, Quotas: grants}, extended)
		assert.NilError(t, err)
		gotHeartbeat, err := decodeHeartbeat(0, data)
		assert.NilError(t, err)
		if !extended {
			assert.Assert(t, gotHeartbeat.Quotas == nil && len(gotReport.Quotas.Rows) == 0)
			continue
		}
		assert.DeepEqual(t, gotReport.Quotas, report.Quotas)
		assert.DeepEqual(t, gotHeartbeat.Quotas, grants)
	}
}

// Guards against messages that are longer without client accounts, and against rows that are longer than docs/design/quotas.md says.
func TestTokensTakeLittleSpace(t *testing.T) {
	size := func(rows int) (report, heartbeat int) {
		r, g := Report{Host: "h"}, (*apportioner.Grants)(nil)
		for n := range rows {
			account := apportioner.Tag(1<<63 + uint64(n))
			r.Quotas.Rows = append(r.Quotas.Rows, apportioner.ReportRow{Account: account, Spent: 60_000, Returned: 200, Asked: 3, Waiting: 1})
			if g == nil {
				g = &apportioner.Grants{Ledger: 70_000, Confirms: true}
			}
			g.Rows = append(g.Rows, apportioner.GrantRow{Account: account, Granted: 60_000, Keep: 20, Wait: 200 * time.Millisecond})
		}
		data, err := encodeReport(r, true)
		assert.NilError(t, err)
		beat, err := encodeHeartbeat(0, Heartbeat{Quotas: g}, true)
		assert.NilError(t, err)
		return len(data), len(beat)
	}
	report, heartbeat := size(0)
	longReport, longHeartbeat := size(100)
	assert.Assert(t, longReport-report <= 20*100 && longHeartbeat-heartbeat <= 20*100, "%d, %d", longReport-report, longHeartbeat-heartbeat)
	emptyReport, _ := encodeReport(Report{Host: "h", Quotas: apportioner.Report{Term: 1, Ledger: 1}}, true)
	assert.Equal(t, len(emptyReport), report)
}

// Guards against a host of another version or a broken one whose lists take the memory or the time of the process.
func TestRowsOfTokensAreBounded(t *testing.T) {
	rows := make([]apportioner.ReportRow, 3*apportioner.MaxRows)
	data, err := encodeReport(Report{Host: "h", Quotas: apportioner.Report{Rows: rows}}, true)
	assert.NilError(t, err)
	report, err := decodeReport(data)
	assert.NilError(t, err)
	assert.Equal(t, len(report.Quotas.Rows), apportioner.MaxRows)
}
