package relayer

import "encoding/binary"

// EncodeProgress returns the body of a Progress item: 12 bytes for each revision, big-endian.
func EncodeProgress(counts []RevisionCount) []byte {
	body := make([]byte, 0, len(counts)*12)
	for _, count := range counts {
		body = binary.BigEndian.AppendUint64(body, count.Revision)
		body = binary.BigEndian.AppendUint32(body, count.Hosts)
	}
	return body
}

// DecodeProgress parses the body of a Progress item. A truncated last entry is ignored.
func DecodeProgress(body []byte) []RevisionCount {
	var counts []RevisionCount
	for len(body) >= 12 {
		counts = append(counts, RevisionCount{
			Revision: binary.BigEndian.Uint64(body),
			Hosts:    binary.BigEndian.Uint32(body[8:]),
		})
		body = body[12:]
	}
	return counts
}

// progressItem returns the histogram of a root with the next version. A restarted root first uses a version that its
// neighbours already have. It then receives their item and publishes again with a higher version.
func (r *Relayer) progressItem(counts []RevisionCount) Item {
	key := Key{Kind: Progress, Name: r.options.Self}
	version := r.items[key].Version
	version.Seq++
	return Item{Key: key, Version: version, Body: EncodeProgress(counts)}
}

// Progress sums the histograms of all roots: the number of hosts that apply each configuration revision.
func (r *Relayer) Progress() []RevisionCount {
	hosts := map[uint64]uint32{}
	for key, item := range r.items {
		if key.Kind != Progress || !r.tree.IsRoot(key.Name) {
			continue
		}
		for _, count := range DecodeProgress(item.Body) {
			hosts[count.Revision] += count.Hosts
		}
	}
	counts := make([]RevisionCount, 0, len(hosts))
	for revision, number := range hosts {
		counts = append(counts, RevisionCount{Revision: revision, Hosts: number})
	}
	return sortCounts(counts)
}
