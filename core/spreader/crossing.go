package spreader

import (
	"math"
	"time"
)

// Parameters of the cost of a crossing.
const (
	// sizeWeight is the weight of one message in the mean size of a route.
	sizeWeight = 0.05
	// connectWeight is the weight with which the time to connect rises to a longer measurement. A shorter one replaces it,
	// because connections are delayed by load and never accelerated.
	connectWeight = 0.02
	// initialWindow is the number of bytes that a new connection sends in the first round trip.
	initialWindow = 10 * 1460
	// sizeBase is the ratio of the sizes of two classes, and smallSize the upper limit of the first class in bytes.
	sizeBase, smallSize = 8, 4 << 10
	// sizeClasses is the number of classes. The last one has no upper limit.
	sizeClasses = 5
)

const megabyte = 1e6

// MaxPrice is the highest price of a megabyte.
const MaxPrice = time.Hour

// RecordConnect records the time that a new connection to an upstream of a domain has taken.
func (s *Spreader) RecordConnect(domain string, taken time.Duration) {
	known, ok := s.connects[domain]
	if !ok || taken < known {
		s.connects[domain] = taken
		return
	}
	s.connects[domain] = known + time.Duration(connectWeight*float64(taken-known))
}

// distance returns the round trip to a domain beyond that in the own domain, or 0 if either is unknown.
func (s *Spreader) distance(own, other string) time.Duration {
	near, ok := s.connects[own]
	far, known := s.connects[other]
	if !ok || !known {
		return 0
	}
	return max(0, far-near)
}

// RecordSize records the bytes of a request and its response.
func (s *Spreader) RecordSize(route string, bytes float64) {
	mean, ok := s.sizes[route]
	if !ok {
		mean = bytes
	}
	s.sizes[route] = mean + sizeWeight*(bytes-mean)
}

// ExpectedSize returns the expected bytes of a request and its response. length is the announced length of the request body, or
// negative if it is unknown.
func (s *Spreader) ExpectedSize(route string, length int64) float64 {
	return max(s.sizes[route], float64(length))
}

// class returns the class of a message of the given size.
func class(bytes float64) int {
	c, limit := 0, float64(smallSize)
	for c < sizeClasses-1 && bytes > limit {
		c, limit = c+1, limit*sizeBase
	}
	return c
}

// CrossingCost returns the time of a caller that a message to another domain is worth: the round trips until the message is
// transferred, and the price of its bytes.
func (s *Spreader) CrossingCost(own, other string, bytes float64) time.Duration {
	if own == other {
		return 0
	}
	trips := 1 + math.Log2(1+bytes/initialWindow)
	return time.Duration(trips*float64(s.distance(own, other)) + bytes/megabyte*float64(s.price))
}
