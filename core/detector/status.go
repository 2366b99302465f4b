package detector

// Status says how a request with a given signature may run.
type Status int

// Statuses, from the least to the most strict. The order and the values are part of the reports between hosts.
const (
	Clear   Status = iota // runs concurrently with other requests
	Suspect               // was in flight when an upstream crashed: runs alone
	Blocked               // crashed an upstream while it ran alone: is rejected
)
