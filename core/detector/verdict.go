package detector

// Status says how a request with a given signature may run.
type Status int

// Verdicts, from the mildest to the strictest.
const (
	Clear   Status = iota // runs next to other requests
	Suspect               // was in flight when an upstream crashed: runs alone
	Blocked               // crashed an upstream while it ran alone: is refused
)
