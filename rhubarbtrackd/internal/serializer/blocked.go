package serializer

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/detector"
)

type wireBlocked struct {
	BlockedAt int64  `json:"blocked-at-ms"` // Unix time in milliseconds, by the clock of the host that wrote it
	Version   uint64 `json:"version"`
	Crashes   int    `json:"crashes"`
	Upstream  string `json:"upstream"` // that was the last to crash
}

// BlockedName returns the name of the object for a signature.
func BlockedName(signature uint64) string { return strconv.FormatUint(signature, 16) }

// EncodeBlocked encodes the report of a blocked signature. now is the time at which its age was measured.
func EncodeBlocked(now time.Time, report detector.Report) ([]byte, error) {
	data, err := json.Marshal(wireBlocked{now.Add(-report.Age).UnixMilli(), report.Version, report.Crashes, report.Upstream})
	if err != nil {
		return nil, &Error{"encode-blocked-request", Unwritable, err}
	}
	return data, nil
}

// DecodeSignature decodes the name of an object.
func DecodeSignature(name string) (uint64, error) {
	signature, err := strconv.ParseUint(name, 16, 64)
	if err != nil {
		return 0, &Error{"decode-blocked-request", Unreadable, errors.New("the name is not a signature")}
	}
	return signature, nil
}

// DecodeBlocked decodes the report of a blocked signature. Its age is measured at now. A time in the future counts as now,
// because the clocks of hosts differ.
func DecodeBlocked(now time.Time, name string, data []byte) (detector.Report, error) {
	signature, err := DecodeSignature(name)
	if err != nil {
		return detector.Report{}, err
	}
	var wire wireBlocked
	if err := json.Unmarshal(data, &wire); err != nil {
		return detector.Report{}, &Error{"decode-blocked-request", Unreadable, err}
	}
	if wire.BlockedAt <= 0 || wire.Version == 0 || wire.Crashes <= 0 {
		return detector.Report{}, &Error{"decode-blocked-request", Unreadable, errors.New("a field is missing or not positive")}
	}
	return detector.Report{
		Signature: signature, Status: detector.Blocked, Version: wire.Version, Crashes: wire.Crashes, Upstream: wire.Upstream,
		Age: max(0, now.Sub(time.UnixMilli(wire.BlockedAt))),
	}, nil
}
