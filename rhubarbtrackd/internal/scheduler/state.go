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

type wireWish struct {
	Out     bool   `json:"out"`
	Version uint64 `json:"version"`
}

type wireState struct {
	Wanted    map[string]wireWish  `json:"wanted"`
	Outs      []wireOut            `json:"outs"`
	Returning map[string]time.Time `json:"returning"`
	Handled   map[string]time.Time `json:"handled"`
}

func encodeState(state drainer.State, wanted map[string]wish) []byte {
	wire := wireState{Wanted: map[string]wireWish{}, Returning: state.Returning, Handled: state.Handled}
	for domain, wish := range wanted {
		wire.Wanted[domain] = wireWish{Out: wish.out, Version: wish.version}
	}
	for _, out := range state.Outages {
		wire.Outs = append(wire.Outs, wireOut{
			Domain: out.Domain, Cause: int(out.Cause), Since: out.Since, Window: out.Window, Start: out.Start, End: out.End,
		})
	}
	data, err := json.Marshal(wire)
	if err != nil {
		panic(err) // strings, numbers and times always have a form
	}
	return data
}

func decodeState(data []byte) (drainer.State, map[string]wish, error) {
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
	wanted := map[string]wish{}
	for domain, w := range wire.Wanted {
		wanted[domain] = wish{out: w.Out, version: w.Version}
	}
	return state, wanted, nil
}
