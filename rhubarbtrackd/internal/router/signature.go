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

// observeCrash records whether an attempt may have crashed the upstream, on this host and for the next report.
func (r *Router) observeCrash(began time.Duration, j *job, u registrar.Upstream, resp *exchanger.Response, err error) {
	now := r.options.Now()
	switch {
	case err != nil && kindOf(err) == exchanger.Interrupted && !r.options.Suspector.Trusted(now, j.signature):
		incarnation := u.ID + "/" + strconv.FormatInt(u.Incarnation, 10)
		event := detector.Interrupted{Signature: j.signature, Upstream: incarnation, SentAt: began, EndedAt: now}
		r.locked(func() { r.observed.recordInterruption(event) })
		r.options.Suspector.Record(now, event)
	case err == nil && !isRejection(resp) && resp.Status < 500:
		if r.options.Suspector.Complete(now, j.signature) {
			r.ReportCompleted(j.signature)
		}
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
