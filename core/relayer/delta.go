package relayer

import "time"

// publish keeps an item of this host and floods it, as a delta if there is one that fits. A neighbour that lacks the version
// before asks for the whole item.
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

// acceptDelta applies a delta to the held item and passes it on. A delta that does not fit means that a version was
// missed; a digest makes the sender send the whole item.
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

// requestMissing sends a digest to a neighbour, at most once per differenceTimeout.
func (r *Relayer) requestMissing(now time.Duration, peer string) []Action {
	from := r.neighbours[peer]
	if from == nil || (from.digestSentAt > 0 && now-from.digestSentAt < differenceTimeout) {
		return nil
	}
	from.digestSentAt = max(now, 1)
	return []Action{r.send(now, peer, Frame{Digest: r.digest(), HasDigest: true})}
}
