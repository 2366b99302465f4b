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
		a.rejectQueued(*entry, NoLease)
		return false
	})
	clear(a.slices)
}

// older reports whether fence a precedes fence b of the same slice: by term, then by epoch.
func older(a, b slicer.Fence) bool {
	if a.Term != b.Term {
		return a.Term < b.Term
	}
	return a.Epoch < b.Epoch
}

// eachSlice applies change to every listed slice for which no newer fence is known.
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
	a.rejectStale(state.fence)
}

func (a *Admitter) stop(state *sliceState) {
	state.phase = stopped
	state.draining = true
	a.reportDrained(state.fence.Slice)
}

func (a *Admitter) remove(state *sliceState) {
	state.phase = removed
	a.queue.filter(func(entry *entry) bool {
		if entry.fence.Slice != state.fence.Slice || older(state.fence, entry.fence) {
			return true
		}
		a.rejectQueued(*entry, Moved)
		return false
	})
}

// rejectStale rejects queued requests whose entry host used an older assignment of the slice than fence.
func (a *Admitter) rejectStale(fence slicer.Fence) {
	a.queue.filter(func(entry *entry) bool {
		if entry.fence.Slice != fence.Slice || !older(entry.fence, fence) {
			return true
		}
		a.rejectQueued(*entry, StaleFence)
		return false
	})
}

// reportDrained emits SliceDrained for a stopped slice, once, when none of its requests is in flight.
func (a *Admitter) reportDrained(slice uint32) {
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
