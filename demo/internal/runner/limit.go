package runner

import "time"

// Bounds from the requirements in section 2 of docs/design.md.
const (
	// servedAgain is the time within which a key is served again after a loss.
	servedAgain = 3 * time.Second
	// servedAfterTwoLosses applies when the upstream that takes over a slice is lost as well, 3 s for each loss.
	servedAfterTwoLosses = 2 * servedAgain
	// servedAfterRestart is the time within which the service is back after all daemons were restarted.
	servedAfterRestart = 5 * time.Second
)

// limit is a figure with an upper bound.
type limit struct {
	name     string
	measured float64
	bound    float64
}

func (l limit) failed() bool { return l.measured > l.bound }

// limits compares the figures of the run with the bounds of its part.
func (s *scenario) limits(result *summary) []limit {
	limits := s.extra
	for _, loaded := range result.services {
		r := loaded.result
		if s.part.name == "" {
			limits = append(limits,
				limit{name: "key-unavailability-s-" + loaded.service, measured: r.OutageMS / 1000, bound: servedAgain.Seconds()},
				limit{name: "not-run-" + loaded.service, measured: float64(r.NotRun)})
		}
		if s.part.noFailures {
			limits = append(limits,
				limit{name: "failed-requests-" + loaded.service, measured: float64(r.Offered - r.Answered)},
				limit{name: "refused-attempts-" + loaded.service, measured: float64(r.Resends)})
		}
		if s.part.noRefusals {
			limits = append(limits, limit{name: "requests-refused-until-deadline-" + loaded.service, measured: float64(r.NotRun)})
		}
		if s.part.interruption > 0 {
			gap := s.probes.LongestInterruption(loaded.service)
			s.say("longest interruption of %s: %.2f s, key %q, from %.2f s", loaded.service, gap.Length.Seconds(),
				gap.Subject.Key, gap.Since.Sub(s.start).Seconds())
			limits = append(limits, limit{
				name: "interruption-s-" + loaded.service, measured: gap.Length.Seconds(), bound: s.part.interruption.Seconds(),
			})
		}
	}
	if s.part.fragile {
		limits = append(limits, limit{name: "peak-over-capacity", measured: float64(result.peakOverCapacity)})
	}
	return limits
}
