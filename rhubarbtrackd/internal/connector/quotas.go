package connector

import (
	"rhubarbtrack.example/core/apportioner"
)

// The rows have a fixed length, which saves the names of the fields in each row.

type wireQuotaReport struct {
	_      struct{} `cbor:",toarray"`
	Term   uint64
	Ledger uint64
	Rows   []wireQuotaReportRow
}

type wireQuotaReportRow struct {
	_        struct{} `cbor:",toarray"`
	Account  uint64
	Spent    uint64
	Returned uint64
	Refunded uint64
	Asked    uint64
	Waiting  uint64
}

type wireQuotaGrants struct {
	_        struct{} `cbor:",toarray"`
	Ledger   uint64
	Confirms bool
	Rows     []wireQuotaGrantRow
}

type wireQuotaGrantRow struct {
	_       struct{} `cbor:",toarray"`
	Account uint64
	Granted uint64
	Keep    uint64
	Wait    int64 // milliseconds
}

func toWireQuotaReport(r apportioner.Report) *wireQuotaReport {
	if len(r.Rows) == 0 {
		return nil
	}
	wire := &wireQuotaReport{Term: r.Term, Ledger: r.Ledger}
	for _, row := range r.Rows {
		wire.Rows = append(wire.Rows, wireQuotaReportRow{
			Account: uint64(row.Account), Spent: row.Spent, Returned: row.Returned, Refunded: row.Refunded, Asked: row.Asked, Waiting: row.Waiting,
		})
	}
	return wire
}

func fromWireQuotaReport(wire *wireQuotaReport) apportioner.Report {
	if wire == nil {
		return apportioner.Report{}
	}
	r := apportioner.Report{Term: wire.Term, Ledger: wire.Ledger}
	for _, row := range wire.Rows[:min(len(wire.Rows), apportioner.MaxRows)] {
		r.Rows = append(r.Rows, apportioner.ReportRow{
			Account: apportioner.Tag(row.Account), Spent: row.Spent, Returned: row.Returned, Refunded: row.Refunded, Asked: row.Asked, Waiting: row.Waiting,
		})
	}
	return r
}

func toWireQuotaGrants(g *apportioner.Grants) *wireQuotaGrants {
	if g == nil {
		return nil
	}
	wire := &wireQuotaGrants{Ledger: g.Ledger, Confirms: g.Confirms}
	for _, row := range g.Rows {
		wire.Rows = append(wire.Rows, wireQuotaGrantRow{
			Account: uint64(row.Account), Granted: row.Granted, Keep: row.Keep, Wait: row.Wait.Milliseconds(),
		})
	}
	return wire
}

func fromWireQuotaGrants(wire *wireQuotaGrants) *apportioner.Grants {
	if wire == nil {
		return nil
	}
	g := &apportioner.Grants{Ledger: wire.Ledger, Confirms: wire.Confirms}
	for _, row := range wire.Rows[:min(len(wire.Rows), apportioner.MaxRows)] {
		g.Rows = append(g.Rows, apportioner.GrantRow{
			Account: apportioner.Tag(row.Account), Granted: row.Granted, Keep: row.Keep, Wait: fromWireAge(row.Wait),
		})
	}
	return g
}
