// Package witness grants the promises from which the controller of a service gets its leader lease.
//
// A promise is exclusive and expires: until then, the witness confirms no other holder for the service. A controller
// that has the promises of a majority of the witnesses is the only one.
//
// Promises are held in memory only. After its start, a witness therefore grants nothing for one promise lifetime,
// so that every promise of its previous incarnation has expired. It also grants nothing until it has read the
// controller record from the store, so that it does not confirm a superseded term.
//
// # Usage
//
//	machine := witness.New(witness.Options{Host: "host-1", Started: now, Lifetime: witness.Lifetime})
//	machine.Observe(record) // each controller record that is read from the store
//	reply := machine.Confirm(now, request)
//	if reply.Granted {
//		// pass elector.PromiseGranted to the elector of this host
//	}
//
// A Witness is not safe for concurrent use. Times are durations since an arbitrary origin.
package witness

import "time"

// Lifetime is the default lifetime of a promise. It is shorter than the time without a promise after which a host
// becomes a candidate (700 ms).
const Lifetime = 600 * time.Millisecond

// Holder identifies the process that holds, or requests, the role of controller of a service.
type Holder struct {
	Host        string
	Incarnation string
}

// Record is the stored controller record of a service.
type Record struct {
	Service   string
	Term      uint64
	Holder    Holder
	Operation uint64   // number of the write, unique within Holder
	Witnesses []string // hosts of which a majority must confirm Holder
	Previous  []string // previous list while a change of Witnesses is uncommitted: its majority is needed as well
}

// Request asks a witness for a promise to Holder.
type Request struct {
	Service string
	Term    uint64
	Holder  Holder
	Number  uint64 // unique within Holder, echoed by the reply
	Probe   bool   // pre-vote: asks whether a promise to Holder is possible; Term is ignored and nothing is promised
}

// Reply is the reply to a Request.
type Reply struct {
	Service  string
	Witness  string
	Term     uint64 // of the request
	Number   uint64 // of the request
	Probe    bool   // of the request
	Granted  bool
	NotReady bool   // rejected because the witness has started too recently or has not read the controller record
	Highest  uint64 // highest term of all records and requests so far, probes excluded
}

// Options configures a witness. A Lifetime of 0 means the default.
type Options struct {
	Host     string
	Started  time.Duration
	Lifetime time.Duration
}

// Witness keeps the promises of one host, at most one for each service.
type Witness struct {
	options  Options
	promises map[string]*promise
}

type promise struct {
	recordRead bool
	highest    uint64
	term       uint64
	holder     Holder
	until      time.Duration
}

// New returns a witness without promises.
func New(options Options) *Witness {
	if options.Lifetime == 0 {
		options.Lifetime = Lifetime
	}
	return &Witness{options: options, promises: map[string]*promise{}}
}

// Observe applies a record that was read from the store after the start of this process. A zero record, except for
// the service, means that the store has none yet.
func (w *Witness) Observe(record Record) {
	current := w.promise(record.Service)
	current.recordRead = true
	current.highest = max(current.highest, record.Term)
}

// Confirm grants a promise to the holder of the request for one lifetime from now, or rejects the request. It
// confirms a different holder only with a higher term and after the previous promise has expired.
func (w *Witness) Confirm(now time.Duration, request Request) Reply {
	current := w.promise(request.Service)
	reply := Reply{
		Service: request.Service,
		Witness: w.options.Host,
		Term:    request.Term,
		Number:  request.Number,
		Probe:   request.Probe,
	}
	if !request.Probe {
		// A holder has its term from a write of the record, so the term of a request has superseded all lower terms.
		current.highest = max(current.highest, request.Term)
	}
	reply.Highest = current.highest
	reply.NotReady = !current.recordRead || now < w.options.Started+w.options.Lifetime
	available := current.holder == request.Holder || now >= current.until
	if reply.NotReady || !available {
		return reply
	}
	if request.Probe {
		reply.Granted = true
		return reply
	}
	if request.Term < current.highest || request.Term == current.term && current.holder != request.Holder {
		return reply
	}
	current.term = request.Term
	current.holder = request.Holder
	current.until = now + w.options.Lifetime
	reply.Granted = true
	return reply
}

func (w *Witness) promise(service string) *promise {
	current, ok := w.promises[service]
	if !ok {
		current = &promise{}
		w.promises[service] = current
	}
	return current
}

// HasMajority reports whether the hosts for which confirmed is true are a majority of the witnesses and, while a
// change of the list is uncommitted, a majority of the previous list as well.
func (r *Record) HasMajority(confirmed func(host string) bool) bool {
	if !majority(r.Witnesses, confirmed) {
		return false
	}
	return len(r.Previous) == 0 || majority(r.Previous, confirmed)
}

func majority(hosts []string, confirmed func(host string) bool) bool {
	count := 0
	for _, host := range hosts {
		if confirmed(host) {
			count++
		}
	}
	return count > len(hosts)/2
}
