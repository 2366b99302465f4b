package runner

import "time"

// Bounds from the requirements in section 2 of docs/design.md.
const (
	// recoveryBound is the time within which a key is served again after its upstream or a host is lost.
	recoveryBound = 3 * time.Second
	// doubleRecoveryBound applies when the next owner of a slice is lost as well: 3 s for each loss.
	doubleRecoveryBound = 2 * recoveryBound
	// restartBound is the time within which the services are available again after a restart of all daemons.
	restartBound = 5 * time.Second
)

// limit is a measured value with its upper bound, inclusive.
type limit struct {
	name     string
	measured float64
	bound    float64
}

func (l limit) exceeded() bool { return l.measured > l.bound }

// limits returns the measured values of the run with the bounds of its variant.
func (s *scenario) limits(result *summary) []limit {
	limits := s.extraLimits
	for _, loaded := range result.services {
		r := loaded.result
		if s.variant.name == "" {
			limits = append(limits,
				limit{name: "key-unavailability-s-" + loaded.service, measured: r.OutageMS / 1000, bound: recoveryBound.Seconds()},
				limit{name: "not-run-" + loaded.service, measured: float64(r.NotRun)})
		}
		if s.variant.noFailures {
			limits = append(limits,
				limit{name: "failed-requests-" + loaded.service, measured: float64(r.Offered - r.Answered)},
				limit{name: "refused-attempts-" + loaded.service, measured: float64(r.Resends)})
		}
		if s.variant.noRejections {
			limits = append(limits, limit{name: "requests-refused-until-deadline-" + loaded.service, measured: float64(r.NotRun)})
		}
		if s.variant.maxInterruption > 0 {
			longest := s.probes.LongestInterruption(loaded.service)
			s.logf("longest interruption of %s: %.2f s, key %q, from %.2f s", loaded.service, longest.Length.Seconds(),
				longest.Subject.Key, longest.Since.Sub(s.start).Seconds())
			limits = append(limits, limit{
				name: "interruption-s-" + loaded.service, measured: longest.Length.Seconds(),
				bound: s.variant.maxInterruption.Seconds(),
			})
		}
	}
	if s.variant.fragile {
		limits = append(limits, limit{name: "peak-over-capacity", measured: float64(result.peakOverCapacity)})
	}
	return limits
}
