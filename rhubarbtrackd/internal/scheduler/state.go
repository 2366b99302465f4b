package scheduler

import (
	"encoding/json"
	"time"

	"rhubarbtrack.example/core/drainer"
)

type wireOut struct {
	Domain string    `json:"domain"`
	Cause  int       `json:"cause"`
	Since  time.Time `json:"since"`
	Window string    `json:"window,omitempty"`
	Start  time.Time `json:"start"`
	End    time.Time `json:"end"`
}

type wirePendingWrite struct {
	Out     bool   `json:"out"`
	Version uint64 `json:"version"`
}

type wireState struct {
	Wanted    map[string]wirePendingWrite `json:"wanted"`
	Outs      []wireOut                   `json:"outs"`
	Returning map[string]time.Time        `json:"returning"`
	Handled   map[string]time.Time        `json:"handled"`
}

func encodeState(state drainer.State, pending map[string]pendingWrite) []byte {
	wire := wireState{Wanted: map[string]wirePendingWrite{}, Returning: state.Returning, Handled: state.Handled}
	for domain, write := range pending {
		wire.Wanted[domain] = wirePendingWrite{Out: write.takenOut, Version: write.version}
	}
	for _, out := range state.Outages {
		wire.Outs = append(wire.Outs, wireOut{
			Domain: out.Domain, Cause: int(out.Cause), Since: out.Since, Window: out.Window, Start: out.Start, End: out.End,
		})
	}
	data, err := json.Marshal(wire)
	if err != nil {
		panic(err) // strings, numbers and the times of this package can always be encoded
	}
	return data
}

func decodeState(data []byte) (drainer.State, map[string]pendingWrite, error) {
	var wire wireState
	if err := json.Unmarshal(data, &wire); err != nil {
		return drainer.State{}, nil, err
	}
	state := drainer.State{Returning: wire.Returning, Handled: wire.Handled}
	for _, out := range wire.Outs {
		state.Outages = append(state.Outages, drainer.Outage{
			Domain: out.Domain, Cause: drainer.Cause(out.Cause), Since: out.Since, Window: out.Window, Start: out.Start,
			End: out.End,
		})
	}
	pending := map[string]pendingWrite{}
	for domain, w := range wire.Wanted {
		pending[domain] = pendingWrite{takenOut: w.Out, version: w.Version}
	}
	return state, pending, nil
}
