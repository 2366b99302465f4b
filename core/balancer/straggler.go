package balancer

import (
	"slices"
	"time"
)

const (
	// stragglerCheckInterval is the minimum time between two searches for stragglers.
	stragglerCheckInterval = 10 * time.Millisecond
	// stragglerFactor times the median latency makes an upstream a straggler. Load alone rarely triples the latency.
	stragglerFactor = 3
	// stalledFactor times the 90th percentile is the age at which a request in flight makes its upstream a straggler.
	stalledFactor = 2
	// minSamples is the decayed number of responses from which the latency of an upstream is compared.
	minSamples = 3
	// ejectSuccessRate is the share of successes below which an upstream is ejected.
	ejectSuccessRate = 0.5
	// confidenceDecay multiplies the confidence in the reports of an upstream when they contradict the observed latency.
	// confidenceStep is added when they do not.
	confidenceDecay = 0.5
	confidenceStep  = 0.05
)

// stragglerScore returns how far t is from normal latency and success. Above 1, t is a straggler.
func (b *Balancer) stragglerScore(now time.Duration, t *target, median, p90 time.Duration) float64 {
	score := 0.0
	if t.latency.count(now) >= minSamples && median > 0 {
		score = float64(t.latency.mean()) / float64(stragglerFactor*median)
	}
	if p90 > 0 {
		score = max(score, float64(t.oldest(now))/float64(stalledFactor*p90))
	}
	if t.successRate < ejectSuccessRate {
		score = max(score, 1+ejectSuccessRate-t.successRate)
	}
	return score
}

// ejectStragglers updates the confidence in reports and ejects stragglers, worst first, within the limits of mayEject.
func (b *Balancer) ejectStragglers(now time.Duration) {
	if now < b.checkedAt+stragglerCheckInterval || len(b.targets) == 0 {
		return
	}
	b.checkedAt = now
	median := b.medianLatency()
	p90 := b.latency.quantile(0.9)
	for _, t := range b.targets {
		t.updateConfidence(now, median)
	}
	for {
		worst, worstScore := (*target)(nil), 1.0
		for _, t := range b.targets {
			if s := b.stragglerScore(now, t, median, p90); s > worstScore && b.mayEject(t) {
				worst, worstScore = t, s
			}
		}
		if worst == nil {
			return
		}
		worst.eject(now)
	}
}

// medianLatency returns the median of the mean latencies, which a minority of stragglers does not affect.
func (b *Balancer) medianLatency() time.Duration {
	var buffer [64]time.Duration
	means := buffer[:0]
	for _, t := range b.targets {
		if mean := t.latency.mean(); mean > 0 {
			means = append(means, mean)
		}
	}
	if len(means) == 0 {
		return 0
	}
	slices.Sort(means)
	return means[(len(means)-1)/2]
}

// mayEject reports whether the ejection of t keeps the limits on ejected upstreams, of all and of its failure domain.
func (b *Balancer) mayEject(t *target) bool {
	if t.ejected || t.Drained {
		return false
	}
	all, ejected, domain, domainEjected := 0, 0, 0, 0
	for _, other := range b.targets {
		if other.Drained {
			continue
		}
		all++
		inDomain := other.FailureDomain == t.FailureDomain
		if inDomain {
			domain++
		}
		if other.ejected {
			ejected++
			if inDomain {
				domainEjected++
			}
		}
	}
	return float64(ejected+1) <= b.options.EjectShare*float64(all) &&
		float64(domainEjected+1) <= b.options.DomainEjectShare*float64(domain)
}

// updateConfidence lowers the confidence in the reports of an upstream that reports less than half of its slots in use
// while its responses are slow.
func (t *target) updateConfidence(now, median time.Duration) {
	if median == 0 || now-t.reportedAt > time.Second {
		return
	}
	slow := max(t.latency.mean(), t.oldest(now)) > 2*median
	if slow && t.report*2 < t.Slots {
		t.confidence *= confidenceDecay
		return
	}
	t.confidence = min(t.confidence+confidenceStep, 1)
}
