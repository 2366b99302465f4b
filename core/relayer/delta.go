package relayer

import "time"

// publish stores an item of this host and floods it, as a delta if there is one from the stored version. A neighbour
// that lacks that version requests the full item.
func (r *Relayer) publish(now time.Duration, published Published) []Action {
	delta := published.Delta
	if delta == nil || r.options.Patch == nil || r.items[delta.Key].Version != delta.From {
		return r.accept(now, "", published.Item)
	}
	if !r.newer(published.Item) {
		return nil
	}
	return r.storeAndFlood(now, "", published.Item, Frame{Deltas: []Delta{*delta}})
}

// acceptDelta applies a delta to the stored item and forwards it. If the delta does not apply, a version was missed, and
// requestMissing makes the sender send the full item.
func (r *Relayer) acceptDelta(now time.Duration, sender string, delta Delta) []Action {
	held := r.items[delta.Key]
	if !held.Version.Less(delta.To) {
		return nil
	}
	if r.options.Patch == nil || held.Version != delta.From || held.Deleted {
		return r.requestMissing(now, sender)
	}
	body, err := r.options.Patch(delta.Key, held.Body, delta.Body)
	if err != nil {
		return r.requestMissing(now, sender)
	}
	item := Item{Key: delta.Key, Version: delta.To, Body: body}
	return r.storeAndFlood(now, sender, item, Frame{Deltas: []Delta{delta}})
}

// requestMissing sends a digest to a neighbour, which replies with the items that are missing here. It sends at most one
// digest per differenceTimeout.
func (r *Relayer) requestMissing(now time.Duration, peer string) []Action {
	from := r.neighbours[peer]
	if from == nil || (from.digestSentAt > 0 && now-from.digestSentAt < differenceTimeout) {
		return nil
	}
	from.digestSentAt = max(now, 1)
	return []Action{r.send(now, peer, Frame{Digest: r.digest(), HasDigest: true})}
}
