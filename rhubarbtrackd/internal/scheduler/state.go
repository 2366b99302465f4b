package scheduler

import (
	"encoding/json"
	"time"

	"rhubarbtrack.example/core/planner"
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

func encodeState(state planner.State, pending map[string]pendingWrite) []byte {
	wire := wireState{Wanted: map[string]wirePendingWrite{}, Returning: state.Returning, Handled: state.Handled}
	for domain, write := range pending {
		wire.Wanted[domain] = wirePendingWrite{Out: write.takenOut, Version: write.version}
	}
	for _, out := range state.Outs {
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

func decodeState(data []byte) (planner.State, map[string]pendingWrite, error) {
	var wire wireState
	if err := json.Unmarshal(data, &wire); err != nil {
		return planner.State{}, nil, err
	}
	state := planner.State{Returning: wire.Returning, Handled: wire.Handled}
	for _, out := range wire.Outs {
		state.Outs = append(state.Outs, planner.Out{
			Domain: out.Domain, Cause: planner.Cause(out.Cause), Since: out.Since, Window: out.Window, Start: out.Start,
			End: out.End,
		})
	}
	pending := map[string]pendingWrite{}
	for domain, w := range wire.Wanted {
		pending[domain] = pendingWrite{takenOut: w.Out, version: w.Version}
	}
	return state, pending, nil
}
