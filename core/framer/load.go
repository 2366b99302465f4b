package framer

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of a load report. A report of all slices of a controller takes about 12 kB, one of 32 slices less than 1 kB.
// A host with a few upstreams thus stays far below the 25 kB/s that it may use for control traffic.
const (
	MaxLoadSlices   = 1024
	MaxLoadKeys     = 32
	MaxLoadKeyBytes = 4096 // sum over the keys
)

// LoadReport is the load of one upstream as measured by its admission host. It contains request rates instead of slots
// in use: only the controller receives the reports of all upstreams, so only it knows the usual service time of the
// service.
type LoadReport struct {
	Upstream string
	Limit    int           // concurrency limit of the admitter, in requests
	InFlight int           // requests that run now
	Cold     bool          // Limit has not yet reached the number of slots of the upstream
	Samples  int           // responses from which Mean and Median are calculated, 0 if there were none in the last seconds
	Mean     time.Duration // latency of recent responses
	Median   time.Duration // latency of recent responses
	Slices   []SliceRate   // at most MaxLoadSlices, without slices that were measured too briefly
	Keys     []KeyRate     // highest rates first, at most MaxLoadKeys keys of MaxLoadKeyBytes in total
}

// SliceRate is the request rate of one slice.
type SliceRate struct {
	Slice    uint32
	MilliRPS uint64 // requests in 1,000 s
}

// KeyRate is a lower bound of the request rate of one key.
type KeyRate struct {
	Key      string
	MilliRPS uint64 // requests in 1,000 s
}

type wireSliceRate struct {
	_        struct{} `cbor:",toarray"`
	Slice    uint32
	MilliRPS uint64
}

type wireKeyRate struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	MilliRPS uint64
}

type wireLoad struct {
	Upstream string          `cbor:"1,keyasint"`
	Limit    int             `cbor:"2,keyasint"`
	Cold     bool            `cbor:"3,keyasint,omitempty"`
	Samples  int             `cbor:"4,keyasint,omitempty"`
	Mean     int64           `cbor:"5,keyasint,omitempty"`
	Median   int64           `cbor:"6,keyasint,omitempty"`
	Slices   []wireSliceRate `cbor:"7,keyasint,omitempty"`
	Keys     []wireKeyRate   `cbor:"8,keyasint,omitempty"`
	InFlight int             `cbor:"9,keyasint,omitempty"`
}

// toWireLoad drops slices and keys that exceed the bounds. The keys are sorted by descending rate, so that those with
// the lowest rates are dropped.
func toWireLoad(report *LoadReport) *wireLoad {
	wire := &wireLoad{
		Upstream: report.Upstream,
		Limit:    report.Limit,
		InFlight: report.InFlight,
		Cold:     report.Cold,
		Samples:  report.Samples,
		Mean:     int64(report.Mean),
		Median:   int64(report.Median),
	}
	for _, rate := range report.Slices[:min(len(report.Slices), MaxLoadSlices)] {
		wire.Slices = append(wire.Slices, wireSliceRate{Slice: rate.Slice, MilliRPS: rate.MilliRPS})
	}
	size := 0
	for _, rate := range report.Keys[:min(len(report.Keys), MaxLoadKeys)] {
		size += len(rate.Key)
		if size > MaxLoadKeyBytes {
			break
		}
		wire.Keys = append(wire.Keys, wireKeyRate{Key: rate.Key, MilliRPS: rate.MilliRPS})
	}
	return wire
}

func (w *wireLoad) report() (*LoadReport, error) {
	report := &LoadReport{
		Upstream: w.Upstream,
		Limit:    w.Limit,
		InFlight: w.InFlight,
		Cold:     w.Cold,
		Samples:  w.Samples,
		Mean:     time.Duration(w.Mean),
		Median:   time.Duration(w.Median),
	}
	for _, rate := range w.Slices {
		report.Slices = append(report.Slices, SliceRate{Slice: rate.Slice, MilliRPS: rate.MilliRPS})
	}
	size := 0
	for _, rate := range w.Keys {
		size += len(rate.Key)
		report.Keys = append(report.Keys, KeyRate{Key: rate.Key, MilliRPS: rate.MilliRPS})
	}
	if len(w.Slices) > MaxLoadSlices || len(w.Keys) > MaxLoadKeys || size > MaxLoadKeyBytes {
		return nil, &Error{Op: "decode load report", Kind: Malformed, Err: errors.Newf(
			"report exceeds the bounds: %d slices, %d keys, %d bytes of keys", len(w.Slices), len(w.Keys), size)}
	}
	if w.Limit < 0 || w.InFlight < 0 || w.Samples < 0 || w.Mean < 0 || w.Median < 0 {
		return nil, &Error{Op: "decode load report", Kind: Malformed, Err: errors.New("report contains a negative number")}
	}
	return report, nil
}
