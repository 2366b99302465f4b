// Package witness keeps the exclusive, expiring promises of one host to the controllers of services.
//
// A promise is held in memory only. A witness that has just started therefore stays silent for one promise lifetime,
// so that every promise of its previous run has expired, and until it has read the controller record from the store,
// so that it does not confirm a term that has been superseded.
//
// # Usage
//
//	machine := witness.New(witness.Options{Host: "host-1", Started: now, Lifetime: witness.Lifetime})
//	machine.Learn(record)
//	reply := machine.Confirm(now, request)
//	if reply.Granted {
//		// tell the local elector that a controller is alive
//	}
package witness

import "time"

// Lifetime is the default length of a promise. It is shorter than the silence before a candidacy (700 ms).
const Lifetime = 600 * time.Millisecond

// Holder identifies one run of the process that leads a service.
type Holder struct {
	Host        string
	Incarnation string
}

// Record is the controller record of a service as the store holds it.
type Record struct {
	Service   string
	Term      uint64
	Holder    Holder
	Operation uint64   // number of the write, unique within Holder
	Witnesses []string // hosts whose majority confirms Holder
	Previous  []string // not empty while Witnesses is uncommitted: its majority is needed as well
}

// Request asks a witness for a promise.
type Request struct {
	Service string
	Term    uint64
	Holder  Holder
	Number  uint64 // unique within Holder, echoed by the reply
	Probe   bool   // only asks whether a promise to Holder is possible; the term is ignored and nothing is promised
}

// Reply answers a request.
type Reply struct {
	Service  string
	Witness  string
	Term     uint64 // of the request
	Number   uint64 // of the request
	Probe    bool   // of the request
	Granted  bool
	NotReady bool   // refused because the witness has started too recently or has not read the record
	Highest  uint64 // highest term that the witness knows
}

// Options configure a witness. Lifetime 0 means the default.
type Options struct {
	Host     string
	Started  time.Duration
	Lifetime time.Duration
}

// Witness holds the promises of one host, at most one per service.
type Witness struct {
	options  Options
	promises map[string]*promise
}

type promise struct {
	learned bool
	highest uint64
	term    uint64
	holder  Holder
	until   time.Duration
}

// New returns a witness without promises.
func New(options Options) *Witness {
	if options.Lifetime == 0 {
		options.Lifetime = Lifetime
	}
	return &Witness{options: options, promises: map[string]*promise{}}
}

// Observe notes a record that was read from the store after the start of this process. A record without a holder says
// that the service has none yet.
func (w *Witness) Observe(record Record) {
	kept := w.promise(record.Service)
	kept.learned = true
	kept.highest = max(kept.highest, record.Term)
}

// Confirm promises exclusivity to the holder of the request for one lifetime from now, or refuses. A different holder is
// confirmed only with a higher term and after the previous promise has expired.
func (w *Witness) Confirm(now time.Duration, request Request) Reply {
	kept := w.promise(request.Service)
	reply := Reply{
		Service: request.Service,
		Witness: w.options.Host,
		Term:    request.Term,
		Number:  request.Number,
		Probe:   request.Probe,
	}
	if !request.Probe {
		// Only the store hands out terms, so a term seen in a request has superseded all lower ones.
		kept.highest = max(kept.highest, request.Term)
	}
	reply.Highest = kept.highest
	reply.NotReady = !kept.learned || now < w.options.Started+w.options.Lifetime
	free := kept.holder == request.Holder || now >= kept.until
	if reply.NotReady || !free {
		return reply
	}
	if request.Probe {
		reply.Granted = true
		return reply
	}
	if request.Term < kept.highest || request.Term == kept.term && kept.holder != request.Holder {
		return reply
	}
	kept.term = request.Term
	kept.holder = request.Holder
	kept.until = now + w.options.Lifetime
	reply.Granted = true
	return reply
}

func (w *Witness) promise(service string) *promise {
	kept, ok := w.promises[service]
	if !ok {
		kept = &promise{}
		w.promises[service] = kept
	}
	return kept
}

// HasMajority reports whether the confirmed hosts are a majority of the witnesses of the record and, while a change of
// the list is uncommitted, of the previous list as well.
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
