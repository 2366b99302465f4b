package balancer

import (
	"math"
	"math/bits"
	"time"
)

const (
	// latencyHalfLife is the age at which the weight of an observed latency has halved.
	latencyHalfLife = time.Second
	// maxWeight is the weight above which all weights are rescaled, well before the sums lose precision.
	maxWeight = 1 << 30
	// Buckets: four per doubling, from about 16 µs to about 70 s.
	bucketsPerDoubling = 4
	smallestBits       = 14
	bucketCount        = 22 * bucketsPerDoubling
)

// histogram holds latencies whose weight decays with age. Instead of decreasing the weights of old observations, it
// increases the weights of new ones, so that an observation takes constant time.
type histogram struct {
	origin  time.Duration
	total   float64
	sum     float64
	buckets [bucketCount]float64
}

func (h *histogram) weight(now time.Duration) float64 {
	return math.Exp2(float64(now-h.origin) / float64(latencyHalfLife))
}

func (h *histogram) add(now, latency time.Duration) {
	if h.total == 0 {
		h.origin = now
	}
	weight := h.weight(now)
	if weight > maxWeight {
		h.rescale(now, weight)
		weight = 1
	}
	h.total += weight
	h.sum += weight * float64(latency)
	h.buckets[bucket(latency)] += weight
}

func (h *histogram) rescale(now time.Duration, weight float64) {
	for i := range h.buckets {
		h.buckets[i] /= weight
	}
	h.total /= weight
	h.sum /= weight
	h.origin = now
}

// count returns the decayed number of observations.
func (h *histogram) count(now time.Duration) float64 {
	if h.total == 0 {
		return 0
	}
	return h.total / h.weight(now)
}

func (h *histogram) mean() time.Duration {
	if h.total == 0 {
		return 0
	}
	return time.Duration(h.sum / h.total)
}

// quantile returns the upper bound of the bucket that contains the q-quantile, and 0 without observations.
func (h *histogram) quantile(q float64) time.Duration {
	remaining := h.total * q
	for i, weight := range h.buckets {
		remaining -= weight
		if remaining <= 0 && weight > 0 {
			return upper(i)
		}
	}
	return 0
}

func bucket(latency time.Duration) int {
	value := uint64(max(latency, 1))
	doubling := bits.Len64(value) - 1
	if doubling < smallestBits {
		return 0
	}
	index := (doubling-smallestBits)*bucketsPerDoubling + int(value>>(doubling-2)&(bucketsPerDoubling-1))
	return min(index, bucketCount-1)
}

func upper(index int) time.Duration {
	doubling := smallestBits + index/bucketsPerDoubling
	return time.Duration(uint64(index%bucketsPerDoubling+bucketsPerDoubling+1) << (doubling - 2))
}
