package framer

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of a load report. A report of all slices of a controller takes about 12 kB and one of 32 slices less than 1 kB,
// so that a host with a few upstreams stays far below the 25 kB/s that it may spend for control.
const (
	MaxLoadSlices   = 1024
	MaxLoadKeys     = 32
	MaxLoadKeyBytes = 4096 // sum over the keys
)

// LoadReport is the load of one upstream as its admission host has measured it. Rates are sent rather than slots in use:
// the usual service time of the service is known only to the controller, which hears of all upstreams.
type LoadReport struct {
	Upstream string
	Limit    int  // requests that the admitter lets run at once
	InFlight int  // requests that run now
	Cold     bool // Limit has not reached the slots of the upstream yet
	Samples  int  // requests behind Mean and Median, 0 when there were none in the last seconds
	Mean     time.Duration
	Median   time.Duration
	Slices   []SliceRate // at most MaxLoadSlices; slices that have been measured too briefly are missing
	Keys     []KeyRate   // heaviest keys, at most MaxLoadKeys of together MaxLoadKeyBytes
}

// SliceRate is the request rate of a slice.
type SliceRate struct {
	Slice    uint32
	MilliRPS uint64 // requests in 1,000 s
}

// KeyRate is the request rate of a key, a lower bound.
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

// toWireLoad leaves out what exceeds the bounds; the heaviest keys come first.
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
		return nil, &Error{Op: "decode load report", Kind: Malformed, Err: errors.Newf("%d slices, %d keys, %d bytes of keys",
			len(w.Slices), len(w.Keys), size)}
	}
	if w.Limit < 0 || w.InFlight < 0 || w.Samples < 0 || w.Mean < 0 || w.Median < 0 {
		return nil, &Error{Op: "decode load report", Kind: Malformed, Err: errors.New("negative number")}
	}
	return report, nil
}
