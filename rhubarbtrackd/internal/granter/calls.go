package granter

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"rhubarbtrack.example/core/controller"
	"rhubarbtrack.example/core/elector"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/slicer"
	"rhubarbtrack.example/core/witness"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/storer"
)

const (
	recordPrefix = "controller/"
	tablePrefix  = "table/"
	// storeTimeout is the time after which elector and controller count a store call as unanswered.
	storeTimeout = 500 * time.Millisecond
	// orderTimeout is the grant lifetime: a later answer would carry no usable nonce.
	orderTimeout = controller.GrantLifetime
	// maxReplyBytes bounds the reply of an upstream: 1,024 held slices take about 50 kB.
	maxReplyBytes = 1 << 20
)

// storeOutcome maps the result of a store call. A refused call had no effect.
func storeOutcome[T any](err error, unknown, done, conflict, refused T) T {
	switch {
	case err == nil:
		return done
	case storer.KindOf(err) == storer.Conflict:
		return conflict
	case storer.KindOf(err) == storer.Unknown:
		return unknown
	default:
		return refused
	}
}

func electorOutcome(err error) elector.Outcome {
	return storeOutcome(err, elector.Unknown, elector.Done, elector.Conflict, elector.Refused)
}

func controllerOutcome(err error) controller.Outcome {
	return storeOutcome(err, controller.Unknown, controller.Done, controller.Conflict, controller.Refused)
}

func condition(expect uint64) storer.Condition {
	if expect == 0 {
		return storer.IfAbsent()
	}
	return storer.IfVersion(expect)
}

// get reads an object; a missing one has version 0.
func (w *worker) get(ctx context.Context, name string) (storer.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := w.granter.options.Store.Get(ctx, name)
	if storer.KindOf(err) == storer.NotFound {
		return storer.Object{Name: name}, nil
	}
	return object, err
}

func (w *worker) readRecord(ctx context.Context, a elector.ReadRecord) {
	object, err := w.get(ctx, recordPrefix+w.service)
	record := witness.Record{Service: w.service}
	if err == nil && object.Version > 0 {
		record, err = framer.DecodeRecord(object.Value)
	}
	if err == nil {
		w.granter.learn(record)
		w.recordTerm.Store(record.Term)
	}
	w.put(elector.RecordRead{
		Operation: a.Operation,
		Outcome:   electorOutcome(err),
		Version:   object.Version,
		Record:    record,
	})
}

func (w *worker) writeRecord(ctx context.Context, a elector.WriteRecord) {
	value, err := framer.EncodeRecord(a.Record)
	if err != nil {
		w.put(elector.RecordWritten{Operation: a.Operation, Outcome: elector.Refused})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := w.granter.options.Store.Put(ctx, recordPrefix+w.service, value, condition(a.Expect))
	w.put(elector.RecordWritten{Operation: a.Operation, Outcome: electorOutcome(err), Version: version})
}

func (w *worker) readTable(ctx context.Context, a controller.ReadTable) {
	object, err := w.get(ctx, tablePrefix+w.service)
	event := controller.TableRead{Operation: a.Operation, Version: object.Version}
	if err == nil && object.Version > 0 {
		event.Stamp, event.Table, err = framer.DecodeStoredTable(object.Value)
		if err != nil {
			w.granter.options.Log.Log(eventlog.TableRefused, zap.String("service", w.service), zap.Error(err))
		}
	}
	event.Outcome = controllerOutcome(err)
	w.put(event)
}

func (w *worker) writeTable(ctx context.Context, a controller.WriteTable) {
	value, err := framer.EncodeStoredTable(a.Stamp, a.Table)
	if err != nil {
		w.put(controller.TableWritten{Operation: a.Operation, Outcome: controller.Refused})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := w.granter.options.Store.Put(ctx, tablePrefix+w.service, value, condition(a.Expect))
	w.put(controller.TableWritten{Operation: a.Operation, Outcome: controllerOutcome(err), Version: version})
}

type wireGrant struct {
	Slice uint32 `json:"slice"`
	Epoch uint64 `json:"epoch"`
}

type wireOrder struct {
	Service    string      `json:"service"`
	Term       uint64      `json:"term"`
	Nonce      string      `json:"nonce"`
	LifetimeMs int64       `json:"lifetime-ms"`
	Add        []wireGrant `json:"add"`
	Remove     []wireGrant `json:"remove"`
}

type wireHeld struct {
	Slice uint32 `json:"slice"`
	Term  uint64 `json:"term"`
	Epoch uint64 `json:"epoch"`
}

type wireOrderReply struct {
	Incarnation string     `json:"incarnation"`
	Term        uint64     `json:"term"`
	Nonce       string     `json:"nonce"`
	Error       string     `json:"error"`
	Held        []wireHeld `json:"held"`
	InFlight    int        `json:"in-flight"`
}

func toWireGrants(grants []controller.Grant) []wireGrant {
	wire := make([]wireGrant, len(grants))
	for i, grant := range grants {
		wire[i] = wireGrant{Slice: grant.Slice, Epoch: grant.Epoch}
	}
	return wire
}

// sendOrder sends an order to an upstream, as docs/protocols.md describes it.
func (w *worker) sendOrder(ctx context.Context, a controller.SendOrder) {
	reply := controller.OrderReply{Upstream: a.Upstream, ID: a.ID, Failed: true}
	wire, status, err := w.postOrder(ctx, a)
	reply.ConnectionRefused = errors.Is(err, syscall.ECONNREFUSED)
	if err == nil {
		reply.Failed = false
		reply.Refusal = refusalOf(status, wire)
		reply.Term = wire.Term
		reply.Incarnation = wire.Incarnation
		reply.Nonce = wire.Nonce
		reply.InFlight = wire.InFlight
		for _, held := range wire.Held {
			reply.Held = append(reply.Held, slicer.Fence{Slice: held.Slice, Term: held.Term, Epoch: held.Epoch})
		}
	}
	if reply.Refusal != controller.Accepted {
		w.granter.options.Log.Log(eventlog.OrderRefused,
			zap.String("service", w.service), zap.String("upstream", a.Upstream), zap.String("reason", wire.Error))
	}
	w.put(reply)
}

func (w *worker) postOrder(ctx context.Context, a controller.SendOrder) (wireOrderReply, int, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(wireOrder{
		Service:    a.Service,
		Term:       a.Term,
		Nonce:      a.Nonce,
		LifetimeMs: a.Lifetime.Milliseconds(),
		Add:        toWireGrants(a.Add),
		Remove:     toWireGrants(a.Remove),
	})
	if err != nil {
		return wireOrderReply{}, 0, err
	}
	url := w.granter.options.Scheme + "://" + a.Address + "/-/lease"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return wireOrderReply{}, 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := w.granter.options.Transport.RoundTrip(request)
	if err != nil {
		return wireOrderReply{}, 0, err
	}
	defer response.Body.Close()
	var reply wireOrderReply
	err = json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxReplyBytes)).Decode(&reply)
	return reply, response.StatusCode, err
}

func refusalOf(status int, reply wireOrderReply) controller.Refusal {
	switch {
	case status == http.StatusOK:
		return controller.Accepted
	case reply.Error == "stale-nonce":
		return controller.StaleNonce
	case reply.Error == "expired-nonce":
		return controller.ExpiredNonce
	default:
		return controller.StaleTerm
	}
}
