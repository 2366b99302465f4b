package framer

import (
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/controller"
	"rhubarbtrack.example/core/slicer"
	"rhubarbtrack.example/core/witness"
)

// Message is one control message. Exactly one field besides Service is set.
type Message struct {
	Service       string
	Confirm       *witness.Request
	Confirmed     *witness.Reply
	Heartbeat     *controller.Heartbeat
	Leases        *controller.SendLeases
	StopAnswer    *controller.StopAnswer
	LeaseReturned *controller.LeaseReturned
	Load          *LoadReport
}

type wireMessage struct {
	Service       string             `cbor:"1,keyasint"`
	Confirm       *wireConfirm       `cbor:"2,keyasint,omitempty"`
	Confirmed     *wireConfirmed     `cbor:"3,keyasint,omitempty"`
	Heartbeat     *wireHeartbeat     `cbor:"4,keyasint,omitempty"`
	Leases        *wireLeases        `cbor:"5,keyasint,omitempty"`
	StopAnswer    *wireStopAnswer    `cbor:"6,keyasint,omitempty"`
	LeaseReturned *wireLeaseReturned `cbor:"7,keyasint,omitempty"`
	Load          *wireLoad          `cbor:"8,keyasint,omitempty"`
}

type wireConfirm struct {
	Term        uint64 `cbor:"1,keyasint"`
	Host        string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint"`
	Number      uint64 `cbor:"4,keyasint"`
	Probe       bool   `cbor:"5,keyasint,omitempty"`
}

type wireConfirmed struct {
	Witness  string `cbor:"1,keyasint"`
	Term     uint64 `cbor:"2,keyasint"`
	Number   uint64 `cbor:"3,keyasint"`
	Probe    bool   `cbor:"4,keyasint,omitempty"`
	Granted  bool   `cbor:"5,keyasint,omitempty"`
	NotReady bool   `cbor:"6,keyasint,omitempty"`
	Highest  uint64 `cbor:"7,keyasint"`
}

type wireHeldLease struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Term     uint64
	Epoch    uint64
}

type wireHeartbeat struct {
	Host          string          `cbor:"1,keyasint"`
	Incarnation   string          `cbor:"2,keyasint"`
	FailureDomain string          `cbor:"3,keyasint"`
	Leaving       bool            `cbor:"4,keyasint,omitempty"`
	Sent          int64           `cbor:"5,keyasint"`
	Leases        []wireHeldLease `cbor:"6,keyasint,omitempty"`
	Term          uint64          `cbor:"7,keyasint,omitempty"`
}

type wireFence struct {
	_     struct{} `cbor:",toarray"`
	Slice uint32
	Term  uint64
	Epoch uint64
}

type wireLease struct {
	Upstream    string      `cbor:"1,keyasint"`
	Epoch       uint64      `cbor:"2,keyasint"`
	Incarnation string      `cbor:"3,keyasint,omitempty"`
	InFlight    int         `cbor:"4,keyasint"`
	Serve       []wireFence `cbor:"5,keyasint,omitempty"`
	Stop        []wireFence `cbor:"6,keyasint,omitempty"`
	NoNewWork   bool        `cbor:"7,keyasint,omitempty"`
	Release     bool        `cbor:"8,keyasint,omitempty"`
}

type wireLeases struct {
	Host          string      `cbor:"1,keyasint"`
	Incarnation   string      `cbor:"2,keyasint"`
	Term          uint64      `cbor:"3,keyasint"`
	Seq           uint64      `cbor:"4,keyasint"`
	HeartbeatSent int64       `cbor:"5,keyasint"`
	Lifetime      int64       `cbor:"6,keyasint"`
	Revision      uint64      `cbor:"7,keyasint"`
	TableTerm     uint64      `cbor:"8,keyasint"`
	TableSeq      uint64      `cbor:"9,keyasint"`
	Leases        []wireLease `cbor:"10,keyasint,omitempty"`
	Query         bool        `cbor:"11,keyasint,omitempty"`
}

type wireStopAnswer struct {
	Host        string      `cbor:"1,keyasint"`
	Incarnation string      `cbor:"2,keyasint"`
	Upstream    string      `cbor:"3,keyasint"`
	Term        uint64      `cbor:"4,keyasint"`
	Seq         uint64      `cbor:"5,keyasint"`
	Slices      []wireFence `cbor:"6,keyasint"`
}

type wireLeaseReturned struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Upstream    string `cbor:"3,keyasint"`
	Epoch       uint64 `cbor:"4,keyasint"`
}

// EncodeMessage encodes a control message. A load report is truncated to its bounds.
func EncodeMessage(message Message) ([]byte, error) {
	wire := wireMessage{Service: message.Service}
	if m := message.Confirm; m != nil {
		wire.Confirm = &wireConfirm{
			Term: m.Term, Host: m.Holder.Host, Incarnation: m.Holder.Incarnation, Number: m.Number, Probe: m.Probe,
		}
	}
	if m := message.Confirmed; m != nil {
		wire.Confirmed = &wireConfirmed{
			Witness: m.Witness, Term: m.Term, Number: m.Number, Probe: m.Probe, Granted: m.Granted, NotReady: m.NotReady,
			Highest: m.Highest,
		}
	}
	if m := message.Heartbeat; m != nil {
		wire.Heartbeat = toWireHeartbeat(m)
	}
	if m := message.Leases; m != nil {
		wire.Leases = toWireLeases(m)
	}
	if m := message.StopAnswer; m != nil {
		wire.StopAnswer = &wireStopAnswer{
			Host: m.Host, Incarnation: m.Incarnation, Upstream: m.Upstream, Term: m.Term, Seq: m.Seq,
			Slices: toWireFences(m.Slices),
		}
	}
	if m := message.LeaseReturned; m != nil {
		wire.LeaseReturned = &wireLeaseReturned{Host: m.Host, Incarnation: m.Incarnation, Upstream: m.Upstream, Epoch: m.Epoch}
	}
	if m := message.Load; m != nil {
		wire.Load = toWireLoad(m)
	}
	return encode("encode control message", wire)
}

func toWireHeartbeat(heartbeat *controller.Heartbeat) *wireHeartbeat {
	wire := &wireHeartbeat{
		Host:          heartbeat.Host,
		Incarnation:   heartbeat.Incarnation,
		FailureDomain: heartbeat.FailureDomain,
		Leaving:       heartbeat.Leaving,
		Sent:          int64(heartbeat.Sent),
		Term:          heartbeat.Term,
	}
	for _, lease := range heartbeat.Leases {
		wire.Leases = append(wire.Leases, wireHeldLease{Upstream: lease.Upstream, Term: lease.Term, Epoch: lease.Epoch})
	}
	return wire
}

func toWireLeases(leases *controller.SendLeases) *wireLeases {
	wire := &wireLeases{
		Query:         leases.Query,
		Host:          leases.Host,
		Incarnation:   leases.Incarnation,
		Term:          leases.Term,
		Seq:           leases.Seq,
		HeartbeatSent: int64(leases.HeartbeatSent),
		Lifetime:      int64(leases.Lifetime),
		Revision:      leases.Revision,
		TableTerm:     leases.Table.Term,
		TableSeq:      leases.Table.Seq,
	}
	for _, lease := range leases.Leases {
		wire.Leases = append(wire.Leases, wireLease{
			Upstream:    lease.Upstream,
			Epoch:       lease.Epoch,
			Incarnation: lease.Incarnation,
			InFlight:    lease.InFlight,
			Serve:       toWireFences(lease.Serve),
			Stop:        toWireFences(lease.Stop),
			NoNewWork:   lease.NoNewWork,
			Release:     lease.Release,
		})
	}
	return wire
}

// DecodeMessage decodes a control message. It rejects a message without exactly one body.
func DecodeMessage(data []byte) (Message, error) {
	const op = "decode control message"
	var wire wireMessage
	if err := decode(op, data, &wire); err != nil {
		return Message{}, err
	}
	message := Message{Service: wire.Service}
	set := 0
	if m := wire.Confirm; m != nil {
		set++
		message.Confirm = &witness.Request{
			Service: wire.Service, Term: m.Term, Holder: witness.Holder{Host: m.Host, Incarnation: m.Incarnation},
			Number: m.Number, Probe: m.Probe,
		}
	}
	if m := wire.Confirmed; m != nil {
		set++
		message.Confirmed = &witness.Reply{
			Service: wire.Service, Witness: m.Witness, Term: m.Term, Number: m.Number, Probe: m.Probe,
			Granted: m.Granted, NotReady: m.NotReady, Highest: m.Highest,
		}
	}
	if m := wire.Heartbeat; m != nil {
		set++
		message.Heartbeat = m.heartbeat()
	}
	if m := wire.Leases; m != nil {
		set++
		message.Leases = m.leases(wire.Service)
	}
	if m := wire.StopAnswer; m != nil {
		set++
		message.StopAnswer = &controller.StopAnswer{
			Host: m.Host, Incarnation: m.Incarnation, Upstream: m.Upstream, Term: m.Term, Seq: m.Seq, Slices: fences(m.Slices),
		}
	}
	if m := wire.LeaseReturned; m != nil {
		set++
		message.LeaseReturned = &controller.LeaseReturned{
			Host: m.Host, Incarnation: m.Incarnation, Upstream: m.Upstream, Epoch: m.Epoch,
		}
	}
	if m := wire.Load; m != nil {
		set++
		report, err := m.report()
		if err != nil {
			return Message{}, err
		}
		message.Load = report
	}
	if set != 1 {
		return Message{}, &Error{Op: op, Kind: Malformed, Err: errors.Newf("message has %d bodies instead of 1", set)}
	}
	return message, nil
}

func (w *wireHeartbeat) heartbeat() *controller.Heartbeat {
	heartbeat := &controller.Heartbeat{
		Host:          w.Host,
		Incarnation:   w.Incarnation,
		FailureDomain: w.FailureDomain,
		Leaving:       w.Leaving,
		Sent:          time.Duration(w.Sent),
		Term:          w.Term,
	}
	for _, lease := range w.Leases {
		heartbeat.Leases = append(heartbeat.Leases,
			controller.HeldLease{Upstream: lease.Upstream, Term: lease.Term, Epoch: lease.Epoch})
	}
	return heartbeat
}

func (w *wireLeases) leases(service string) *controller.SendLeases {
	message := &controller.SendLeases{
		Query:         w.Query,
		Host:          w.Host,
		Incarnation:   w.Incarnation,
		Service:       service,
		Term:          w.Term,
		Seq:           w.Seq,
		HeartbeatSent: time.Duration(w.HeartbeatSent),
		Lifetime:      time.Duration(w.Lifetime),
		Revision:      w.Revision,
		Table:         slicer.Version{Term: w.TableTerm, Seq: w.TableSeq},
	}
	for _, lease := range w.Leases {
		message.Leases = append(message.Leases, controller.Lease{
			Upstream:    lease.Upstream,
			Epoch:       lease.Epoch,
			Incarnation: lease.Incarnation,
			InFlight:    lease.InFlight,
			Serve:       fences(lease.Serve),
			Stop:        fences(lease.Stop),
			NoNewWork:   lease.NoNewWork,
			Release:     lease.Release,
		})
	}
	return message
}

func toWireFences(list []slicer.Fence) []wireFence {
	wire := make([]wireFence, len(list))
	for i, fence := range list {
		wire[i] = wireFence{Slice: fence.Slice, Term: fence.Term, Epoch: fence.Epoch}
	}
	return wire
}

func fences(wire []wireFence) []slicer.Fence {
	list := make([]slicer.Fence, len(wire))
	for i, fence := range wire {
		list[i] = slicer.Fence{Slice: fence.Slice, Term: fence.Term, Epoch: fence.Epoch}
	}
	return list
}
