package connector

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/selector"
)

// EncodedLoads holds load reports and run times as they are sent, so that they are encoded once for all hosts.
type EncodedLoads []byte

// EncodeLoads encodes load reports, and mean run times by upstream. Ages are rounded down to milliseconds.
func EncodeLoads(loads []LoadReport, runTimes map[identifier.Incarnation]time.Duration) (EncodedLoads, error) {
	wire := toWireLoads(loads)
	for upstream, mean := range runTimes {
		wire = append(wire, wireLoad{Upstream: upstream.Tag(), Running: int(mean.Milliseconds()), Age: int(runTimeAge.Milliseconds())})
	}
	return cbor.Marshal(wire)
}

// Decode returns the load reports and the run times, none for an empty encoding.
func (e EncodedLoads) Decode() ([]LoadReport, map[identifier.Tag]time.Duration, error) {
	if len(e) == 0 {
		return nil, nil, nil
	}
	var wire []wireLoad
	if err := cbor.Unmarshal(e, &wire); err != nil {
		return nil, nil, &Error{"decode-load-reports", Unreadable, err}
	}
	runTimes := map[identifier.Tag]time.Duration{}
	loads := wire[:0]
	for _, w := range wire {
		if int64(w.Age) < runTimeAge.Milliseconds() {
			loads = append(loads, w)
			continue
		}
		if mean := time.Duration(w.Running) * time.Millisecond; mean > 0 && mean <= maxTimingSum {
			runTimes[w.Upstream] = mean
		}
	}
	return fromWireLoads(loads), runTimes, nil
}

type wireLoad struct {
	_        struct{} `cbor:",toarray"`
	Upstream identifier.Tag
	Running  int
	Waiting  int
	Slots    int
	Pace     int // percent
	Age      int // milliseconds
}

func toWireLoads(loads []LoadReport) []wireLoad {
	wire := make([]wireLoad, 0, len(loads))
	for _, load := range loads {
		wire = append(wire, wireLoad{
			Upstream: load.Upstream, Running: load.Load.Running, Waiting: load.Load.Waiting, Slots: load.Load.Slots,
			Pace: int(load.Load.Slowdown * 100), Age: int(load.Age.Milliseconds()),
		})
	}
	return wire
}

func fromWireLoads(wire []wireLoad) []LoadReport {
	var loads []LoadReport
	for _, w := range wire {
		if min(w.Running, w.Waiting, w.Slots, w.Pace) < 0 || max(w.Running, w.Waiting, w.Slots, w.Pace) > maxLoad {
			continue // no upstream reports this, and sums of it could overflow
		}
		loads = append(loads, LoadReport{
			Upstream: w.Upstream,
			Load:     selector.Load{Running: w.Running, Waiting: w.Waiting, Slots: w.Slots, Slowdown: float64(w.Pace) / 100},
			Age:      fromWireAge(int64(w.Age)),
		})
	}
	return loads
}
