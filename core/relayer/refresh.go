package relayer

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// pendingRefresh is a refresh that waits for the next tick, so that all refreshes of an interval share one frame.
type pendingRefresh struct {
	seq    uint64
	sender string
}

// heartbeatFingerprint identifies a leader heartbeat by its name, term and body.
func heartbeatFingerprint(item Item) uint32 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(item.Name)
	var term [8]byte
	binary.BigEndian.PutUint64(term[:], item.Version.Term)
	_, _ = digest.Write(term[:])
	_, _ = digest.Write(item.Body)
	return uint32(digest.Sum64())
}

// unchanged reports whether item is a leader heartbeat with the same term and body as the held one.
func unchanged(held, item Item) bool {
	return item.Kind == LeaderHeartbeat && held.Version.Term == item.Version.Term && string(held.Body) == string(item.Body)
}

// acceptRefreshes applies the refreshes of a neighbour. If a refresh has an unknown fingerprint, the leader heartbeat
// itself was lost, and requestMissing makes the neighbour send it.
func (r *Relayer) acceptRefreshes(now time.Duration, sender string, refreshes []Refresh) []Action {
	var actions []Action
	unknown := false
	for _, refresh := range refreshes {
		key, ok := r.heartbeats[refresh.Fingerprint]
		if !ok {
			unknown = true
			continue
		}
		item := r.items[key]
		if item.Version.Seq < refresh.Seq {
			item.Version.Seq = refresh.Seq
			actions = append(actions, r.refresh(sender, item)...)
		}
	}
	if unknown {
		actions = append(actions, r.requestMissing(now, sender)...)
	}
	return actions
}

// refresh stores the new sequence number of a leader heartbeat and forwards it with the next tick.
func (r *Relayer) refresh(sender string, item Item) []Action {
	r.items[item.Key] = item
	r.refreshes[heartbeatFingerprint(item)] = pendingRefresh{seq: item.Version.Seq, sender: sender}
	return []Action{Deliver{Item: item}}
}

// sendRefreshes sends the refreshes since the last tick to every neighbour, except to the one that sent each.
func (r *Relayer) sendRefreshes(now time.Duration) []Action {
	if len(r.refreshes) == 0 {
		return nil
	}
	fingerprints := make([]uint32, 0, len(r.refreshes))
	for fingerprint := range r.refreshes {
		fingerprints = append(fingerprints, fingerprint)
	}
	sort.Slice(fingerprints, func(i, j int) bool { return fingerprints[i] < fingerprints[j] })
	var actions []Action
	for _, peer := range r.peers() {
		var refreshes []Refresh
		for _, fingerprint := range fingerprints {
			if pending := r.refreshes[fingerprint]; pending.sender != peer {
				refreshes = append(refreshes, Refresh{Fingerprint: fingerprint, Seq: pending.seq})
			}
		}
		if len(refreshes) > 0 {
			actions = append(actions, r.send(now, peer, Frame{Refreshes: refreshes}))
		}
	}
	clear(r.refreshes)
	return actions
}
