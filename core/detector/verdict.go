package detector

// Verdict says how a request with a given signature may run.
type Verdict int

// Verdicts, from the mildest to the strictest.
const (
	Clear     Verdict = iota // runs next to other requests
	Suspect                  // was in flight when an upstream crashed: runs alone
	Condemned                // crashed an upstream while it ran alone: is refused
)
