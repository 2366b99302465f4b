// Package sharer divides an overloaded service fairly between client accounts.
//
// Each account has a part of the requests that a service accepts: in proportion to its weight, and what an account does not use
// goes to the others (weighted max-min fairness). The weight is the limit of the account, or else its usual demand, so that an
// account that always sends much is not refused for that, while one that suddenly sends many times its usual is. A request beyond
// the part of its account should be refused before one within it. While all accounts exceed their parts alike, or a service accepts
// nearly all requests, no request is beyond.
//
// # Usage
//
//	s := sharer.New(seed)
//	beyond := s.Ask(now, service, account, weight) // for each request
//	s.RecordAccepted(now, service)                 // if the service has accepted it
//
// The floor: of the requests of each account, the share that counts as within is at least floorShare of the share that the service
// accepts of all.
//
// A Sharer is not safe for concurrent use. Times are durations since an arbitrary origin.
package sharer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// demandTime is the time constant of the demand of an account, and usualTime that of its usual demand.
	demandTime = 5 * time.Second
	usualTime  = time.Minute
	// acceptedShare is the share of accepted requests from which a service is not overloaded.
	acceptedShare = 0.95
	// minRefused is the number of refused requests within demandTime below which a service is not overloaded.
	minRefused = 3
	// minAsked is the number of requests within demandTime below which an account is never beyond its part, because their number
	// varies too much.
	minAsked = 4
	// tolerance is the factor by which the demand of an account, relative to its part, must exceed that of all accounts together. In an
	// overload by all accounts, each demand is beyond its part, and refusing those that vary upwards has no gain for others.
	tolerance = 1.3
	// floorShare keeps the rate at which an account is served above a quarter of that of all accounts.
	floorShare = 0.4
	// levelInterval is the time between two computations of the parts.
	levelInterval = 200 * time.Millisecond
	// maxServices and maxAccounts bound the records. Those of accounts with little demand are removed first.
	maxServices = 64
	maxAccounts = 2048
	// minDemand is the demand in requests per second below which the record of an account may be removed.
	minDemand = 0.01
)

// record is what is known of one account at one service. Rates are in requests per second.
type record struct {
	demand    float64 // decayed with demandTime
	usual     float64 // decayed with usualTime
	weight    float64 // 0: usual
	updatedAt time.Duration
	since     time.Duration
}

func (r *record) decay(now time.Duration) {
	elapsed := max(0, now-r.updatedAt).Seconds()
	r.demand *= math.Exp(-elapsed / demandTime.Seconds())
	r.usual *= math.Exp(-elapsed / usualTime.Seconds())
	r.updatedAt = now
}

// effectiveWeight returns the weight, or the usual demand. That is corrected for the time for which the account is known.
func (r *record) effectiveWeight(now time.Duration) float64 {
	if r.weight > 0 {
		return r.weight
	}
	known := 1 - math.Exp(-max(demandTime, now-r.since).Seconds()/usualTime.Seconds())
	return max(minDemand, r.usual/known)
}

type service struct {
	accounts         map[string]*record
	asked, accepted  float64 // requests per second, decayed with demandTime
	updatedAt        time.Duration
	level            float64 // accepted demand by weight; 0: the service is not overloaded
	levelAt          time.Duration
	hasLevel         bool
	fractionAccepted float64
}

func (s *service) decay(now time.Duration) {
	factor := math.Exp(-max(0, now-s.updatedAt).Seconds() / demandTime.Seconds())
	s.asked, s.accepted, s.updatedAt = s.asked*factor, s.accepted*factor, now
}

// Sharer records the requests of accounts by service.
type Sharer struct {
	random   *rand.Rand
	services map[string]*service
}

// New returns a Sharer without records. seed determines which requests of an account count as beyond its part.
func New(seed uint64) *Sharer {
	return &Sharer{random: rand.New(rand.NewPCG(seed, 11)), services: map[string]*service{}}
}

// Ask records a request and reports whether it is beyond the part of its account. weight is relative to other accounts, in requests
// per second; 0 stands for the usual demand of the account.
func (s *Sharer) Ask(now time.Duration, name, account string, weight float64) (beyond bool) {
	svc := s.services[name]
	if svc == nil {
		if len(s.services) >= maxServices {
			clear(s.services)
		}
		svc = &service{accounts: map[string]*record{}, updatedAt: now}
		s.services[name] = svc
	}
	r := svc.accounts[account]
	if r == nil {
		if len(svc.accounts) >= maxAccounts {
			svc.forget(now)
		}
		r = &record{updatedAt: now, since: now}
		svc.accounts[account] = r
	}
	r.decay(now)
	r.demand += 1 / demandTime.Seconds()
	r.usual += 1 / usualTime.Seconds()
	r.weight = weight
	svc.decay(now)
	svc.asked += 1 / demandTime.Seconds()
	if !svc.hasLevel || now >= svc.levelAt+levelInterval {
		svc.updateLevel(now)
	}
	if svc.level == 0 || r.demand*demandTime.Seconds() < minAsked {
		return false
	}
	within := svc.level * r.effectiveWeight(now) / r.demand
	return within < svc.fractionAccepted/tolerance && s.random.Float64() >= max(within, floorShare*svc.fractionAccepted)
}

// RecordAccepted records that a service has accepted a request.
func (s *Sharer) RecordAccepted(now time.Duration, name string) {
	if svc := s.services[name]; svc != nil {
		svc.decay(now)
		svc.accepted += 1 / demandTime.Seconds()
	}
}

// forget removes the records of accounts with little demand, or all if that does not suffice.
func (s *service) forget(now time.Duration) {
	for account, r := range s.accounts {
		if r.decay(now); r.demand < minDemand {
			delete(s.accounts, account)
		}
	}
	if len(s.accounts) >= maxAccounts {
		clear(s.accounts)
	}
}

// updateLevel finds the level at which the parts of all accounts, each at most its demand, are together what the service accepts.
func (s *service) updateLevel(now time.Duration) {
	s.hasLevel, s.levelAt, s.level = true, now, 0
	if (s.asked-s.accepted)*demandTime.Seconds() < minRefused || s.accepted >= acceptedShare*s.asked {
		return
	}
	s.fractionAccepted = s.accepted / s.asked
	type part struct{ demand, weight float64 }
	parts := make([]part, 0, len(s.accounts))
	weights, left := 0.0, s.accepted
	for _, r := range s.accounts {
		r.decay(now)
		p := part{r.demand, r.effectiveWeight(now)}
		weights += p.weight
		parts = append(parts, p)
	}
	slices.SortFunc(parts, func(a, b part) int {
		switch x, y := a.demand/a.weight, b.demand/b.weight; {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	for _, p := range parts {
		if p.demand > left/weights*p.weight {
			break
		}
		left -= p.demand
		weights -= p.weight
	}
	s.level = max(math.SmallestNonzeroFloat64, left/max(weights, math.SmallestNonzeroFloat64))
}
