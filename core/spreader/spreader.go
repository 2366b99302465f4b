// Package spreader divides the requests of a host among failure domains: how many stay in the domain of the host, and how many
// go to which other domain.
//
// A request that leaves saves its caller time in the queues of the own domain, and costs round trips to the other domain and
// bytes between domains. The price of a byte is stated in the callers' time, so that both sides have the same unit. The
// division for a service and a class of message sizes follows the response times that a queueing model expects: work leaves while
// a request takes longer at home than elsewhere with the crossing, and is moved back when it does not.
//
// # Usage
//
//	s := spreader.New(seed)
//	s.RecordConnect("b", 2*time.Millisecond)                  // for each new connection
//	s.RecordSize(route, 61_000)                               // for each finished request
//	if s.IsDue(now, service) {
//		s.Update(now, service, "a", domains)              // the load of each domain
//	}
//	domain := s.Choose(service, s.ExpectedSize(route, length)) // "" without a division
//
// Hosts decide on their own, each for its share of the requests of its domain. They see the same load reports, so that together
// they move what the domain has too much of. A division changes by at most a part of the difference in each step, because
// the reports that show the effect of a step arrive only after the next one.
//
// A Spreader is not safe for concurrent use. Times are durations since an arbitrary origin.
package spreader

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"rhubarbtrack.example/core/rebalancer"
)

// Parameters of the division.
const (
	// updateInterval is the time between two steps. Load reports of other hosts are 200 to 400 ms old.
	updateInterval = 250 * time.Millisecond
	// forgetTime is the age from which on a division is not used: the service had no requests, so its load is unknown.
	forgetTime = 5 * time.Second
	// loadSmoothing is the weight of the last observation in the smoothed utilization of a domain.
	loadSmoothing = 0.4
	// weightSmoothing is the weight of the last observation in the weights of the other domains. All hosts change them at once, so
	// that quick changes would move the work from one domain to the next and back.
	weightSmoothing = 0.1
	// stepGain is the part of the difference between the utilization and the target that one step moves.
	stepGain = 0.2
	// maxStep limits the share that one step moves.
	maxStep = 0.1
	// startMargin is what a request must save at least before the first requests leave, as a share of the run time, and margin
	// what it must save while requests leave. Loads are observed with an error, and moving work there and back costs new
	// connections.
	startMargin, margin = 0.2, 0.05
	// minReturn is the share that returns in a step at least when it would be served as soon at home. Otherwise two domains with
	// nearly the same load would exchange requests for long.
	minReturn = 0.01
	// minShare is the share below which no request leaves.
	minShare = 0.01
	// maxUtilization is the highest utilization in the model. Upstreams whose queues are longer reject requests.
	maxUtilization = 4.0
	// bisectionSteps is the number of halvings by which a utilization is found.
	bisectionSteps = 20
)

// The number of upstreams of a domain of which a request goes to the best one. All hosts of a domain see the same load reports. If these are
// older than a request takes, many choices would send all requests to the few upstreams that were idle.
const (
	fewChoices, manyChoices = 2, 4
	// reportAge is the age of load reports of other hosts at most, usually.
	reportAge = 400 * time.Millisecond
)

// Domain is the load of a failure domain: the upstreams of one service that may get requests. One without upstreams gets none.
type Domain struct {
	Name      string
	Upstreams int
	Slots     float64
	// Occupied is the number of requests in slots and queues at upstreams with ReportedSlots of the slots. The load of the others
	// is not known.
	Occupied, ReportedSlots float64
}

// Division is how the requests of a class are divided. The shares add up to 1, and are zero for a domain without upstreams.
type Division struct {
	Names  []string
	Shares []float64
	// OwnCost is the expected response time at home, and OtherCost the lowest one elsewhere with the crossing. OwnCost is 0
	// without upstreams at home, and OtherCost without upstreams elsewhere.
	OwnCost, OtherCost time.Duration
	// Utilization is the share of the slots of the own domain that are occupied.
	Utilization float64
	own         int // index of the own domain; -1: it has no upstreams
}

// Leaving returns the share of requests that leave the own domain.
func (d Division) Leaving() float64 {
	switch {
	case len(d.Names) == 0:
		return 0
	case d.own < 0:
		return 1
	}
	return 1 - d.Shares[d.own]
}

type service struct {
	at        time.Duration
	runTime   time.Duration
	own       string
	loads     map[string]float64 // smoothed utilizations by domain
	divisions [sizeClasses]Division
	used      [sizeClasses]float64            // mean size of the class in bytes; 0: no requests yet
	remote    [sizeClasses]float64            // share of the requests sent to other domains
	weights   [sizeClasses]map[string]float64 // of the other domains in that share; they add up to 1
}

// Spreader holds the divisions of all services.
type Spreader struct {
	services map[string]*service
	connects map[string]time.Duration
	sizes    map[string]float64
	price    time.Duration
	random   *rand.Rand
}

// New returns a Spreader without divisions, with a price of 0. seed determines which requests leave.
func New(seed uint64) *Spreader {
	return &Spreader{services: map[string]*service{}, connects: map[string]time.Duration{}, sizes: map[string]float64{},
		random: rand.New(rand.NewPCG(seed, seed))}
}

// SetPrice sets the time of a caller that a megabyte between two failure domains is worth, from 0 to MaxPrice. At 0, only the
// distance counts.
func (s *Spreader) SetPrice(megabyte time.Duration) { s.price = min(max(0, megabyte), MaxPrice) }

// Keep deletes the divisions of services and the sizes of routes for which the functions return false.
func (s *Spreader) Keep(keepService, keepRoute func(name string) bool) {
	maps.DeleteFunc(s.services, func(name string, _ *service) bool { return !keepService(name) })
	maps.DeleteFunc(s.sizes, func(name string, _ float64) bool { return !keepRoute(name) })
}

// IsDue reports whether the division of a service needs the present load.
func (s *Spreader) IsDue(now time.Duration, name string) bool {
	known := s.services[name]
	return known == nil || now >= known.at+updateInterval
}

// Choose returns the domain of one request of a service with the given expected size, or "" if the service has no division.
func (s *Spreader) Choose(name string, bytes float64) string {
	known := s.services[name]
	if known == nil {
		return ""
	}
	c := class(bytes)
	if known.used[c] == 0 {
		known.used[c] = max(1, bytes)
	}
	known.used[c] += sizeWeight * (max(1, bytes) - known.used[c])
	division := known.divisions[c]
	if len(division.Names) == 0 {
		return known.own
	}
	if division.Leaving() == 0 {
		return division.Names[division.own]
	}
	draw := s.random.Float64()
	for i, share := range division.Shares {
		if draw -= share; draw < 0 {
			return division.Names[i]
		}
	}
	return known.own
}

// Choices returns the number of upstreams of a domain of which a request of the service should go to the best one.
func (s *Spreader) Choices(name string) int {
	if known := s.services[name]; known != nil {
		return choices(known.runTime)
	}
	return fewChoices
}

func choices(runTime time.Duration) int {
	if runTime < reportAge {
		return fewChoices
	}
	return manyChoices
}

// Division returns the present division of a service for messages of the given size.
func (s *Spreader) Division(name string, bytes float64) Division {
	if known := s.services[name]; known != nil {
		return known.divisions[class(bytes)]
	}
	return Division{}
}

// Widest returns the division of a service with the highest share that leaves, over all classes.
func (s *Spreader) Widest(name string) Division {
	var widest Division
	if known := s.services[name]; known != nil {
		for c, bytes := range known.used {
			division := known.divisions[c]
			if bytes > 0 && len(division.Names) > 0 && (len(widest.Names) == 0 || division.Leaving() > widest.Leaving()) {
				widest = division
			}
		}
	}
	return widest
}

// Update sets the divisions of a service from the present load of all domains. own is the domain of this host, and runTime the mean
// run time of a request of the service.
func (s *Spreader) Update(now time.Duration, name, own string, runTime time.Duration, domains []Domain) {
	known := s.services[name]
	if known == nil || known.own != own || now > known.at+forgetTime {
		known = &service{own: own, loads: map[string]float64{}}
		s.services[name] = known
	}
	known.at, known.runTime = now, runTime
	usual := meanUtilization(domains)
	loads := make([]load, len(domains))
	for i, d := range domains {
		loads[i] = newLoad(d, runTime, usual)
		if smoothed, ok := known.loads[d.Name]; ok {
			loads[i].utilization = smoothed + loadSmoothing*(loads[i].utilization-smoothed)
		}
		known.loads[d.Name] = loads[i].utilization
	}
	for c, bytes := range known.used {
		if bytes > 0 {
			known.divisions[c] = s.divide(known, c, loads)
		}
	}
}

// meanUtilization returns the utilization of all upstreams whose load is known.
func meanUtilization(domains []Domain) float64 {
	slots, occupied := 0.0, 0.0
	for _, d := range domains {
		slots += d.ReportedSlots
		occupied += d.Occupied
	}
	return occupied / max(1, slots)
}

// load is the state of a domain in the queueing model. The domain is one upstream with the slots that a request chooses from. All
// domains have the same run time: what differs between them is the time in queues, and slow upstreams have the longer ones.
type load struct {
	name        string
	slots       float64 // 0: no upstreams
	pool        float64 // slots that a request can choose from
	utilization float64
	runTime     float64 // in seconds
}

func newLoad(d Domain, runTime time.Duration, usual float64) load {
	l := load{name: d.Name}
	if d.Upstreams == 0 || d.Slots <= 0 {
		return l
	}
	l.slots, l.utilization, l.runTime = d.Slots, usual, max(runTime, time.Millisecond).Seconds()
	if d.ReportedSlots > 0 {
		l.utilization = min(maxUtilization, d.Occupied/d.ReportedSlots)
	}
	l.pool = d.Slots / float64(d.Upstreams) * float64(min(choices(runTime), d.Upstreams))
	return l
}

// cost returns the expected response time in seconds.
func (l load) cost() float64 {
	if l.slots == 0 {
		return math.Inf(1)
	}
	return l.runTime * (1 + rebalancer.Wait(l.utilization, l.pool))
}

// utilizationAt returns the highest utilization at which the response time is at most cost seconds.
func (l load) utilizationAt(cost float64) float64 {
	low, high := 0.0, maxUtilization
	for range bisectionSteps {
		if middle := (low + high) / 2; l.runTime*(1+rebalancer.Wait(middle, l.pool)) <= cost {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// divide makes one step of the division of a class.
func (s *Spreader) divide(known *service, c int, loads []load) Division {
	division := Division{Names: make([]string, len(loads)), Shares: make([]float64, len(loads)), own: -1}
	var own load
	for i, l := range loads {
		division.Names[i] = l.name
		if l.name == known.own && l.slots > 0 {
			division.own, own = i, l
		}
	}
	ownCost := own.cost()
	// room is the number of slots that a domain can fill until a request takes as long there as at home.
	room := make([]float64, len(loads))
	total, lowest := 0.0, math.Inf(1)
	for i, l := range loads {
		if i == division.own || l.slots == 0 {
			continue
		}
		crossing := s.CrossingCost(known.own, l.name, known.used[c]).Seconds()
		lowest = min(lowest, l.cost()+crossing)
		if division.own < 0 {
			room[i] = l.slots
		} else if cost := ownCost - crossing; cost > 0 {
			room[i] = l.slots * max(0, l.utilizationAt(cost)-l.utilization)
		}
		total += room[i]
	}
	if division.own < 0 {
		known.remote[c] = 1
	} else {
		known.remote[c] = step(known.remote[c], own, ownCost, lowest)
		division.OwnCost, division.Utilization = seconds(ownCost), own.utilization
	}
	if !math.IsInf(lowest, 1) {
		division.OtherCost = seconds(lowest)
	}
	weights := known.nextWeights(c, division.own, loads, room, total)
	if len(weights) == 0 {
		known.remote[c] = 0
	}
	for i, l := range loads {
		division.Shares[i] = known.remote[c] * weights[l.name]
	}
	if division.own >= 0 {
		division.Shares[division.own] = 1 - known.remote[c]
	}
	return division
}

// nextWeights returns the weight of each other domain in the requests that are sent to others, by the room that it has. While no
// domain has room, the weights stay, and the remote share falls in steps.
func (known *service) nextWeights(c, own int, loads []load, room []float64, total float64) map[string]float64 {
	weights, sum := map[string]float64{}, 0.0
	for i, l := range loads {
		if i == own || l.slots == 0 {
			continue
		}
		weight, ok := known.weights[c][l.name]
		if total > 0 {
			if !ok && known.weights[c] == nil {
				weight = room[i] / total
			}
			weight += weightSmoothing * (room[i]/total - weight)
		}
		if weight > 0 {
			weights[l.name] = weight
			sum += weight
		}
	}
	for name := range weights {
		weights[name] /= sum
	}
	known.weights[c] = nil
	if len(weights) > 0 {
		known.weights[c] = weights
	}
	return weights
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// step returns the next share of requests that leave the own domain. ownCost is the response time at home, and lowest the lowest one
// elsewhere with the crossing.
func step(remote float64, own load, ownCost, lowest float64) float64 {
	if remote == 0 && ownCost < lowest+startMargin*own.runTime {
		return 0
	}
	lowest += margin * own.runTime
	// The own domain should have the utilization at which a request takes as long as elsewhere.
	target := 1.0
	if !math.IsInf(lowest, 1) {
		target = own.utilizationAt(lowest)
	}
	change := stepGain * (own.utilization - target) / max(own.utilization, target, math.SmallestNonzeroFloat64)
	if change < 0 {
		change -= minReturn
	}
	remote = min(1, max(0, remote+min(maxStep, max(-maxStep, change))))
	if change <= 0 && remote < minShare {
		return 0
	}
	return remote
}
