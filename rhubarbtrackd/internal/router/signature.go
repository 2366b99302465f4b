package router

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/rhubarbtrackd/internal/acceptor"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
	"rhubarbtrack.example/rhubarbtrackd/internal/suspector"
)

// sign returns the signature of a request. It is the same when the caller sends the request again, to any host. The address
// of the caller is no part of it, because one caller may use several: another one in each failure domain, for example. A
// body that is too long to be kept in memory counts with its length only.
func sign(request *acceptor.Request) uint64 {
	return detector.Sign(request.Method, request.Host, request.Path, request.Header.Get("Authorization"),
		strconv.FormatUint(xxhash.Sum64(request.Body), 16), strconv.FormatInt(request.Length, 10))
}

// signatureField identifies in the log a request that a caller sends again, under another ID each time.
func signatureField(j *job) zap.Field {
	return zap.String("signature", suspector.Name(j.signature))
}

// crashProbeDelay is the time from an interrupted attempt to the probe of the upstream. A process that ends closes its
// connections and its listener one after the other.
const crashProbeDelay = 20 * time.Millisecond

// observeCrash records whether an attempt has crashed the upstream. An interrupted one is recorded after a probe has shown that
// the upstream has ended.
func (r *Router) observeCrash(began time.Duration, j *job, u registrar.Upstream, resp *exchanger.Response, err error) {
	now := r.options.Now()
	switch {
	case err != nil && kindOf(err) == exchanger.Interrupted && !r.options.Suspector.Trusted(now, j.signature):
		incarnation := u.ID + "/" + strconv.FormatInt(u.Incarnation, 10)
		r.confirmCrash(u, detector.Interrupted{Signature: j.signature, Upstream: incarnation, SentAt: began, EndedAt: now})
	case err == nil && !isRejection(resp) && resp.Status < 500:
		if r.options.Suspector.Complete(now, j.signature) {
			r.ReportCompleted(j.signature)
		}
	}
}

// confirmCrash starts a probe of an upstream after an interruption, unless one is in progress.
func (r *Router) confirmCrash(u registrar.Upstream, event detector.Interrupted) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	unconfirmed := r.unconfirmed[event.Upstream]
	r.unconfirmed[event.Upstream] = append(unconfirmed, event)
	if len(unconfirmed) == 0 {
		go func() {
			if !r.options.Panics.Do("confirm-crash", func() { r.probeInterrupted(u, event.Upstream) }) {
				r.locked(func() { delete(r.unconfirmed, event.Upstream) })
			}
		}()
	}
}

// probeInterrupted records the interruptions of an upstream, on this host and for the next report, unless the upstream accepts
// a connection. Upstreams also reset connections when they have too many of them.
func (r *Router) probeInterrupted(u registrar.Upstream, incarnation string) {
	time.Sleep(crashProbeDelay)
	err := r.options.Pool.Probe(exchanger.Target{ID: u.ID, Address: u.Address})
	var confirmed []detector.Interrupted
	r.locked(func() {
		if err != nil {
			confirmed = r.unconfirmed[incarnation]
		}
		delete(r.unconfirmed, incarnation)
		for _, event := range confirmed {
			r.observed.recordInterruption(event)
		}
	})
	for _, event := range confirmed {
		r.options.Suspector.Record(r.options.Now(), event)
	}
}

// ReportCompleted adds to the next report that upstreams have run requests with the signatures.
func (r *Router) ReportCompleted(signatures ...uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, signature := range signatures {
		r.observed.recordCompletion(signature)
	}
}
