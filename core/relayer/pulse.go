package relayer

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// pendingPulse is a pulse that waits for the next tick, so that all pulses of an interval travel in one frame.
type pendingPulse struct {
	seq    uint64
	sender string
}

// beaconPrint identifies a beacon with its present body.
func beaconPrint(item Item) uint32 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(item.Name)
	var term [8]byte
	binary.BigEndian.PutUint64(term[:], item.Version.Term)
	_, _ = digest.Write(term[:])
	_, _ = digest.Write(item.Body)
	return uint32(digest.Sum64())
}

// repeats reports whether a beacon only repeats the held one.
func repeats(held, item Item) bool {
	return item.Kind == LeaderHeartbeat && held.Version.Term == item.Version.Term && string(held.Body) == string(item.Body)
}

// acceptPulses applies the pulses of a neighbour. A pulse of an unknown beacon means that the beacon was lost on the way;
// a digest makes the neighbour send it.
func (r *Relayer) acceptPulses(now time.Duration, sender string, pulses []Refresh) []Action {
	var actions []Action
	unknown := false
	for _, pulse := range pulses {
		key, ok := r.beacons[pulse.Fingerprint]
		if !ok {
			unknown = true
			continue
		}
		item := r.items[key]
		if item.Version.Seq < pulse.Seq {
			item.Version.Seq = pulse.Seq
			actions = append(actions, r.pulse(sender, item)...)
		}
	}
	if unknown {
		actions = append(actions, r.askForMissing(now, sender)...)
	}
	return actions
}

// pulse keeps the new sequence number of a beacon and passes it on with the next tick.
func (r *Relayer) pulse(sender string, item Item) []Action {
	r.items[item.Key] = item
	r.pulses[beaconPrint(item)] = pendingPulse{seq: item.Version.Seq, sender: sender}
	return []Action{Deliver{Item: item}}
}

// sendPulses passes the pulses since the last tick on to every neighbour but the one from which each came.
func (r *Relayer) sendPulses(now time.Duration) []Action {
	if len(r.pulses) == 0 {
		return nil
	}
	prints := make([]uint32, 0, len(r.pulses))
	for print := range r.pulses {
		prints = append(prints, print)
	}
	sort.Slice(prints, func(i, j int) bool { return prints[i] < prints[j] })
	var actions []Action
	for _, peer := range r.peers() {
		var pulses []Refresh
		for _, print := range prints {
			if pending := r.pulses[print]; pending.sender != peer {
				pulses = append(pulses, Refresh{Fingerprint: print, Seq: pending.seq})
			}
		}
		if len(pulses) > 0 {
			actions = append(actions, r.send(now, peer, Frame{Refreshes: pulses}))
		}
	}
	clear(r.pulses)
	return actions
}
