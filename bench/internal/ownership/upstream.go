package ownership

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"rhubarbtrack.example/core/controller"
	"rhubarbtrack.example/core/slicer"
)

// upstream implements the upstream's side of the grants in docs/protocols.md, except for the handling of delayed
// orders, which the simulation does not have.
type upstream struct {
	name        string
	incarnation int
	dead        bool
	nonces      int
	nonce       string
	nonceIssued time.Duration
	grantEnd    time.Duration // of all slices in held
	held        map[uint32]slicer.Fence
}

func (u *upstream) restart() {
	u.incarnation++
	u.nonce = ""
	u.held = map[uint32]slicer.Fence{}
}

func (u *upstream) holds(now time.Duration, fence slicer.Fence) bool {
	return !u.dead && now < u.grantEnd && u.held[fence.Slice] == fence
}

func (u *upstream) handleOrder(now time.Duration, order controller.SendOrder) controller.OrderReply {
	if now >= u.grantEnd {
		u.held = map[uint32]slicer.Fence{}
	}
	reply := controller.OrderReply{
		Upstream:    u.name,
		ID:          order.ID,
		Term:        order.Term,
		Incarnation: fmt.Sprint(u.incarnation),
	}
	switch {
	case order.Nonce == "":
	case order.Nonce != u.nonce:
		reply.Refusal = controller.StaleNonce
	default:
		u.applyOrder(order)
	}
	u.nonces++
	u.nonce = fmt.Sprint(u.incarnation, "-", u.nonces)
	u.nonceIssued = now
	reply.Nonce = u.nonce
	for _, id := range slices.Sorted(maps.Keys(u.held)) {
		reply.Held = append(reply.Held, u.held[id])
	}
	return reply
}

func (u *upstream) applyOrder(order controller.SendOrder) {
	u.grantEnd = u.nonceIssued + order.Lifetime
	for _, grant := range order.Remove {
		delete(u.held, grant.Slice)
	}
	for _, grant := range order.Add {
		u.held[grant.Slice] = slicer.Fence{Slice: grant.Slice, Term: order.Term, Epoch: grant.Epoch}
	}
}
