package balancer

import (
	"slices"
	"time"
)

const (
	// judgeInterval is the time between two searches for stragglers.
	judgeInterval = 10 * time.Millisecond
	// stragglerFactor times the usual latency makes an upstream a straggler; load alone rarely triples it.
	stragglerFactor = 3
	// stalledFactor times the 90th percentile is the age at which a request in flight makes its upstream a straggler.
	stalledFactor = 2
	// minEvidence is the decayed number of responses on which an upstream is judged.
	minEvidence = 3
	// ejectSuccess is the share of successes below which an upstream is ejected.
	ejectSuccess = 0.5
	// distrust is the factor on the trust in an upstream whose report contradicts the observed latency, and regain the
	// step towards full trust while they agree.
	distrust = 0.5
	regain   = 0.05
)

// suspicion ranks upstreams: above 1 means straggler.
func (b *Balancer) suspicion(now time.Duration, t *target, usual, high time.Duration) float64 {
	worst := 0.0
	if t.latency.count(now) >= minEvidence && usual > 0 {
		worst = float64(t.latency.mean()) / float64(stragglerFactor*usual)
	}
	if high > 0 {
		worst = max(worst, float64(t.oldest(now))/float64(stalledFactor*high))
	}
	if t.success < ejectSuccess {
		worst = max(worst, 1+ejectSuccess-t.success)
	}
	return worst
}

// judge ejects the worst stragglers within the bounds, and updates the trust in reports.
func (b *Balancer) judge(now time.Duration) {
	if now < b.judgedAt+judgeInterval || len(b.targets) == 0 {
		return
	}
	b.judgedAt = now
	usual := b.usual()
	high := b.group.quantile(0.9)
	for _, t := range b.targets {
		t.judgeReports(now, usual)
	}
	for {
		worst, rank := (*target)(nil), 1.0
		for _, t := range b.targets {
			if s := b.suspicion(now, t, usual, high); s > rank && b.mayEject(t) {
				worst, rank = t, s
			}
		}
		if worst == nil {
			return
		}
		worst.eject(now)
	}
}

// usual returns the median of the mean latencies, which a minority of stragglers cannot raise.
func (b *Balancer) usual() time.Duration {
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

// mayEject applies the bounds on the share of ejected upstreams, of all and of the failure domain of t.
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

// judgeReports lowers the trust in an upstream that reports less than half of its slots in use while its responses are
// slow.
func (t *target) judgeReports(now, usual time.Duration) {
	if usual == 0 || now-t.reportedAt > time.Second {
		return
	}
	slow := max(t.latency.mean(), t.oldest(now)) > 2*usual
	if slow && t.report*2 < t.Slots {
		t.trust *= distrust
		return
	}
	t.trust = min(t.trust+regain, 1)
}
