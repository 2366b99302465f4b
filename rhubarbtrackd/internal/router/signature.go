package router

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/matcher"
	"rhubarbtrack.example/rhubarbtrackd/internal/acceptor"
	"rhubarbtrack.example/rhubarbtrackd/internal/suspector"
)

// signatures identify a request that its caller sends again, to any host. The detector judges each of them by itself, and a request
// is blocked when one of them is. With withQuery alone, a harmful request that comes with another query each time is not blocked.
// With withoutQuery alone, a response to another query counts as proof that the request is harmless.
type signatures struct {
	withQuery    uint64
	withoutQuery uint64
}

// credentialsHeader is the header field with the credentials of a caller.
const credentialsHeader = "Authorization"

// sign returns the signatures of the request. Where the credentials are the key of a client account, a digest takes their place:
// signatures are logged, stored and sent to other hosts, and do not hide what they are made of. Hosts of earlier versions, which
// sign the text, do not check keys and are not used where accounts exist. Elsewhere the signatures of all versions are equal.
func (j *job) sign() signatures {
	credentials := j.request.Header.Get(credentialsHeader)
	if !j.hasAccounts || credentials == "" {
		return signRequest(j.request)
	}
	digest := matcher.DigestKey(credentials)
	return signAs(j.request, string(digest[:]))
}

// signRequest returns the signatures of a request with the text of its credentials. The address of the caller is no part of them,
// because one caller may use several: another one in each failure domain, for example. A body that is too long to be kept in memory
// counts with its length only. Hosts of earlier versions know withoutQuery only, so its parts do not change.
func signRequest(request *acceptor.Request) signatures {
	return signAs(request, request.Header.Get(credentialsHeader))
}

func signAs(request *acceptor.Request, credentials string) signatures {
	parts := []string{
		request.Method, request.Host, request.Path, credentials,
		strconv.FormatUint(xxhash.Sum64(request.Body), 16), strconv.FormatInt(request.Length, 10),
	}
	_, query, _ := strings.Cut(request.Target, "?")
	return signatures{
		withoutQuery: detector.Sign(parts...),
		withQuery:    detector.Sign(append(parts, sortedQuery(query))...),
	}
}

// sortedQuery returns a query with its parameters in a fixed order.
func sortedQuery(query string) string {
	parameters := strings.Split(query, "&")
	slices.Sort(parameters)
	return strings.Join(parameters, "&")
}

// all returns the signatures, the narrower one first.
func (s signatures) all() [2]uint64 { return [2]uint64{s.withQuery, s.withoutQuery} }

// status returns how a request may run: the stricter one of the statuses of its signatures.
func (r *Router) status(now time.Duration, s signatures) detector.Status {
	return max(r.options.Suspector.Status(now, s.withQuery), r.options.Suspector.Status(now, s.withoutQuery))
}

// signatureField identifies in the log a request that a caller sends again, under another ID each time, with any query.
func signatureField(j *job) zap.Field {
	return zap.String("signature", suspector.Name(j.signatures.withoutQuery))
}

// querySignatureField identifies in the log a request that a caller sends again with the same query.
func querySignatureField(j *job) zap.Field {
	return zap.String("query-signature", suspector.Name(j.signatures.withQuery))
}

// ReportCompleted adds to the next report that upstreams have run requests with the signatures.
func (r *Router) ReportCompleted(signatures ...uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, signature := range signatures {
		r.observed.recordCompletion(signature)
	}
}
