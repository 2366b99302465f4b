package connector

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/selector"
)

const (
	// packedAgeUnit is the unit of ages in packed loads. Ages below half a second then take one byte.
	packedAgeUnit = 4 * time.Millisecond
	// maxNames bounds the numbers that a Packer gives to upstreams, and that a host keeps. A packer begins anew beyond it.
	maxNames = 1 << 15
	tagBytes = 8
	// PackedLoadBytes is the usual size of a packed load report, for estimates.
	PackedLoadBytes = 7
)

// Packer encodes load reports and run times in a short form. It numbers the upstreams, and sends each host every number once.
// A connection carries messages in order, so both sides have the same numbers. All loads that a Hub sends must come from one Packer.
// Load reports with the tags of upstreams would be most of what a controller of 91 hosts sends.
//
// A packed load holds numbers as varints: the first number that follows, the count of names and their tags; then the count
// of reports, and each as the difference of its number to the last one, running, waiting, slots, pace and age; then the count of
// run times, and each as the difference of its number and milliseconds. It is not safe for concurrent use.
type Packer struct {
	numbers map[identifier.Tag]int
	names   []identifier.Tag
	epoch   int // counts the numberings
}

// NewPacker returns a Packer without numbers.
func NewPacker() *Packer { return &Packer{numbers: map[identifier.Tag]int{}} }

// PackedLoads are load reports and run times that were encoded once for all hosts. They are safe for concurrent use.
type PackedLoads struct {
	names []identifier.Tag // all names that the entries need
	epoch int
	body  []byte
	mutex sync.Mutex
	heads map[int][]byte // complete encodings, by the number of names that the host knows
}

// Pack encodes load reports, and mean run times by upstream.
func (p *Packer) Pack(loads []LoadReport, runTimes map[identifier.Incarnation]time.Duration) *PackedLoads {
	if len(p.names)+len(loads)+len(runTimes) > maxNames {
		p.numbers, p.names = map[identifier.Tag]int{}, nil
		p.epoch++
	}
	means := make(map[identifier.Tag]time.Duration, len(runTimes))
	for upstream, mean := range runTimes {
		means[upstream.Tag()] = mean
	}
	slices.SortFunc(loads, func(a, b LoadReport) int { return p.number(a.Upstream) - p.number(b.Upstream) })
	tags := slices.SortedFunc(maps.Keys(means), func(a, b identifier.Tag) int { return p.number(a) - p.number(b) })
	body := binary.AppendUvarint(nil, uint64(len(loads)))
	last := 0
	for _, l := range loads {
		number := p.number(l.Upstream)
		for _, value := range []int{
			number - last, l.Load.Running, l.Load.Waiting, l.Load.Slots, int(l.Load.Slowdown * 100), int(l.Age / packedAgeUnit),
		} {
			body = binary.AppendUvarint(body, uint64(max(0, value)))
		}
		last = number
	}
	body = binary.AppendUvarint(body, uint64(len(tags)))
	last = 0
	for _, tag := range tags {
		body = binary.AppendUvarint(body, uint64(p.number(tag)-last))
		body = binary.AppendUvarint(body, uint64(max(0, means[tag].Milliseconds())))
		last = p.number(tag)
	}
	return &PackedLoads{names: p.names, epoch: p.epoch, body: body, heads: map[int][]byte{}}
}

func (p *Packer) number(tag identifier.Tag) int {
	number, ok := p.numbers[tag]
	if !ok {
		number = len(p.names)
		p.numbers[tag] = number
		p.names = append(p.names, tag)
	}
	return number
}

// after returns the encoding for a host that has the first known names.
func (l *PackedLoads) after(known int) []byte {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if data, ok := l.heads[known]; ok {
		return data
	}
	data := binary.AppendUvarint(nil, uint64(known))
	data = binary.AppendUvarint(data, uint64(len(l.names)-known))
	for _, tag := range l.names[known:] {
		data = binary.BigEndian.AppendUint64(data, uint64(tag))
	}
	data = append(data, l.body...)
	l.heads[known] = data
	return data
}

// namesSent records the names that a host has received.
type namesSent struct{ epoch, count int }

// take returns the encoding of loads for the host and records it as sent.
func (s *namesSent) take(loads *PackedLoads) []byte {
	if s.epoch != loads.epoch {
		*s = namesSent{epoch: loads.epoch}
	}
	data := loads.after(min(s.count, len(loads.names)))
	s.count = max(s.count, len(loads.names))
	return data
}

// unpacker decodes the packed loads of one connection.
type unpacker struct{ names []identifier.Tag }

var errPacked = errors.New("packed loads are truncated or refer to unknown names")

// unpack decodes packed loads. After an error, the connection has to end, since later ones may refer to names that are lost.
func (u *unpacker) unpack(data []byte) ([]LoadReport, map[identifier.Tag]time.Duration, error) {
	r := packedReader{data: data}
	first, added := r.next(), r.next()
	if first == 0 {
		u.names = nil
	}
	if r.failed || first != len(u.names) || added > len(r.data)/tagBytes || first+added > maxNames {
		return nil, nil, errPacked
	}
	for range added {
		u.names = append(u.names, identifier.Tag(binary.BigEndian.Uint64(r.data)))
		r.data = r.data[tagBytes:]
	}
	var loads []LoadReport
	number := 0
	for count := r.next(); count > 0 && !r.failed; count-- {
		number += r.next()
		load := selector.Load{Running: r.next(), Waiting: r.next(), Slots: r.next(), Slowdown: float64(r.next()) / 100}
		age := r.next()
		if r.failed || number >= len(u.names) {
			return nil, nil, errPacked
		}
		loads = append(loads, LoadReport{
			Upstream: u.names[number], Load: load, Age: fromWireAge(int64(age) * packedAgeUnit.Milliseconds()),
		})
	}
	runTimes := map[identifier.Tag]time.Duration{}
	number = 0
	for count := r.next(); count > 0 && !r.failed; count-- {
		number += r.next()
		mean := time.Duration(r.next()) * time.Millisecond
		if r.failed || number >= len(u.names) {
			return nil, nil, errPacked
		}
		if mean > 0 && mean <= maxTimingSum {
			runTimes[u.names[number]] = mean
		}
	}
	if r.failed {
		return nil, nil, errPacked
	}
	return loads, runTimes, nil
}

// packedReader reads varints of at most maxLoad.
type packedReader struct {
	data   []byte
	failed bool
}

func (r *packedReader) next() int {
	value, length := binary.Uvarint(r.data)
	if length <= 0 || value > maxLoad {
		r.failed = true
		return 0
	}
	r.data = r.data[length:]
	return int(value)
}
