package router

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/rhubarbtrackd/internal/acceptor"
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

// ReportCompleted adds to the next report that upstreams have run requests with the signatures.
func (r *Router) ReportCompleted(signatures ...uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, signature := range signatures {
		r.observed.recordCompletion(signature)
	}
}
