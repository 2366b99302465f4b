package operator

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"rhubarbtrack.example/core/configurator"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// auditPrefix is the prefix of the names of all audit records. The day and a number follow it.
const auditPrefix = "audit/"

// dayLayout is the format of a day (UTC) in names of records.
const dayLayout = "2006-01-02"

// result is the outcome of an audited call.
type result int

const (
	started  result = iota + 1 // stored before the change is sent to the store
	accepted                   // the store accepted the change
	refused                    // the change was rejected and had no effect
	unknown                    // the response was lost and the outcome could not be determined
	repeated                   // a retry of a change that had already taken effect
)

var results = []struct {
	result  result
	name    string
	message rhubarbtrackv1.AuditResult
}{
	{started, "started", rhubarbtrackv1.AuditResult_AUDIT_RESULT_STARTED},
	{accepted, "accepted", rhubarbtrackv1.AuditResult_AUDIT_RESULT_ACCEPTED},
	{refused, "refused", rhubarbtrackv1.AuditResult_AUDIT_RESULT_REFUSED},
	{unknown, "unknown", rhubarbtrackv1.AuditResult_AUDIT_RESULT_UNKNOWN},
	{repeated, "repeated", rhubarbtrackv1.AuditResult_AUDIT_RESULT_REPEATED},
}

// record is the audit record of one attempted change.
type record struct {
	name          string // of the stored record, "" until it is stored
	version       uint64 // of the stored record
	time          time.Time
	attempt       string // identifies one attempt of an operation
	origin        configurator.Origin
	call          string
	object        string
	before        string
	after         string
	versionBefore uint64
	versionAfter  uint64
	result        result
	problem       string
}

// maxRecordedLength is the maximum length of names in records, in bytes. It is needed because the names of rejected
// attempts were not validated.
const maxRecordedLength = 256

func newRecord(c *change, now time.Time, attempt string) *record {
	origin := configurator.Origin{Writer: c.origin.Writer, Operation: truncate(c.origin.Operation)}
	return &record{
		time:          now,
		attempt:       attempt,
		origin:        origin,
		call:          c.call,
		object:        truncate(c.object),
		versionBefore: c.expected,
	}
}

func truncate(text string) string {
	if len(text) <= maxRecordedLength {
		return text
	}
	return strings.ToValidUTF8(text[:maxRecordedLength], "")
}

type wireRecord struct {
	Time          time.Time `json:"time"`
	Attempt       string    `json:"attempt"`
	Writer        string    `json:"writer"`
	Operation     string    `json:"operation"`
	Call          string    `json:"call"`
	Object        string    `json:"object"`
	Before        string    `json:"before"`
	After         string    `json:"after"`
	VersionBefore uint64    `json:"version-before"`
	VersionAfter  uint64    `json:"version-after"`
	Result        string    `json:"result"`
	Problem       string    `json:"problem"`
}

func (r *record) encode() ([]byte, error) {
	wire := wireRecord{
		Time:          r.time,
		Attempt:       r.attempt,
		Writer:        r.origin.Writer,
		Operation:     r.origin.Operation,
		Call:          r.call,
		Object:        r.object,
		Before:        r.before,
		After:         r.after,
		VersionBefore: r.versionBefore,
		VersionAfter:  r.versionAfter,
		Problem:       r.problem,
	}
	for _, entry := range results {
		if entry.result == r.result {
			wire.Result = entry.name
		}
	}
	return json.Marshal(wire)
}

func decodeRecord(object Object) (record, error) {
	var wire wireRecord
	if err := json.Unmarshal(object.Value, &wire); err != nil {
		return record{}, errors.Wrapf(err, "audit record %s", object.Name)
	}
	decoded := record{
		name:          object.Name,
		version:       object.Version,
		time:          wire.Time,
		attempt:       wire.Attempt,
		origin:        configurator.Origin{Writer: wire.Writer, Operation: wire.Operation},
		call:          wire.Call,
		object:        wire.Object,
		before:        wire.Before,
		after:         wire.After,
		versionBefore: wire.VersionBefore,
		versionAfter:  wire.VersionAfter,
		problem:       wire.Problem,
	}
	for _, entry := range results {
		if entry.name == wire.Result {
			decoded.result = entry.result
		}
	}
	return decoded, nil
}

// sameAttempt reports whether both records describe the same call, regardless of its outcome. The time does not
// distinguish attempts, because copies of a request can arrive at the same time.
func (r *record) sameAttempt(other *record) bool {
	return r.attempt == other.attempt && r.origin == other.origin
}

func (r *record) day() string { return r.time.UTC().Format(dayLayout) }

func recordName(day string, number int) string {
	return fmt.Sprintf("%s%s/%05d", auditPrefix, day, number)
}

// chunkPrefix returns the common prefix of the names of recordsPerChunk consecutive records.
func chunkPrefix(day string, chunk int) string {
	return fmt.Sprintf("%s%s/%03d", auditPrefix, day, chunk)
}

func recordMessage(r *record) *rhubarbtrackv1.AuditRecord {
	message := &rhubarbtrackv1.AuditRecord{
		Name:          r.name,
		Time:          timestamppb.New(r.time),
		Writer:        r.origin.Writer,
		Call:          r.call,
		Object:        r.object,
		OperationId:   r.origin.Operation,
		Before:        r.before,
		After:         r.after,
		VersionBefore: r.versionBefore,
		VersionAfter:  r.versionAfter,
		Problem:       r.problem,
	}
	for _, entry := range results {
		if entry.result == r.result {
			message.Result = entry.message
		}
	}
	return message
}
