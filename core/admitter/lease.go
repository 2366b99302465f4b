package admitter

import "rhubarbtrack.example/core/slicer"

func (a *Admitter) renew(renewed LeaseRenewed) {
	if renewed.Epoch < a.leaseEpoch {
		return
	}
	a.leaseEpoch = renewed.Epoch
	a.leaseUntil = max(a.leaseUntil, renewed.SentAt+a.options.Lease)
}

func (a *Admitter) endLease(ended LeaseEnded) {
	if ended.Epoch < a.leaseEpoch {
		return
	}
	a.leaseEpoch = ended.Epoch + 1
	a.leaseUntil = 0
	a.queue.filter(func(entry *entry) bool {
		a.drop(*entry, NoLease)
		return false
	})
	clear(a.slices)
}

// older orders the fences of one slice.
func older(a, b slicer.Fence) bool {
	if a.Term != b.Term {
		return a.Term < b.Term
	}
	return a.Epoch < b.Epoch
}

// eachSlice applies change to every slice of which no newer fence is known.
func (a *Admitter) eachSlice(fences []slicer.Fence, change func(*sliceState)) {
	for _, fence := range fences {
		state, known := a.slices[fence.Slice]
		if !known {
			state = &sliceState{fence: fence, phase: removed}
			a.slices[fence.Slice] = state
		}
		if older(fence, state.fence) {
			continue
		}
		state.fence = fence
		change(state)
	}
}

func (a *Admitter) serve(state *sliceState) {
	state.phase = served
	state.draining = false
	a.refuseStale(state.fence)
}

func (a *Admitter) stop(state *sliceState) {
	state.phase = stopped
	state.draining = true
	a.reportIdle(state.fence.Slice)
}

func (a *Admitter) remove(state *sliceState) {
	state.phase = removed
	a.queue.filter(func(entry *entry) bool {
		if entry.fence.Slice != state.fence.Slice || older(state.fence, entry.fence) {
			return true
		}
		a.drop(*entry, Moved)
		return false
	})
}

// refuseStale refuses waiting requests whose entry host knew an older assignment of the slice than fence.
func (a *Admitter) refuseStale(fence slicer.Fence) {
	a.queue.filter(func(entry *entry) bool {
		if entry.fence.Slice != fence.Slice || !older(entry.fence, fence) {
			return true
		}
		a.drop(*entry, StaleFence)
		return false
	})
}

// reportIdle emits SliceIdle when it is owed and no request of the slice is in flight.
func (a *Admitter) reportIdle(slice uint32) {
	state, known := a.slices[slice]
	if !known || !state.draining {
		return
	}
	for i := range a.running {
		if a.running[i].fence.Slice == slice {
			return
		}
	}
	state.draining = false
	a.emit(SliceDrained{Fence: state.fence})
}
