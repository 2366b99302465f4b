package router

import (
	"time"

	"rhubarbtrack.example/core/throttler"
)

// retryBucket returns the retry budget of a service, and the number of tokens that each request adds to it. The caller
// holds the mutex.
func (r *Router) retryBucket(now time.Duration, service string) (bucket *throttler.Bucket, perRequest float64) {
	limits := r.limits.Load()
	perRequest, burst := throttler.RetryShare(limits.RetryRatio, limits.RetrySlack, r.shares.Hosts(now))
	bucket = r.retryBuckets[service]
	if bucket == nil {
		bucket = throttler.NewBucket(now, 0, burst)
		r.retryBuckets[service] = bucket
	}
	bucket.Set(now, 0, burst)
	return bucket, perRequest
}

func (r *Router) takeRetryToken(j *job) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.options.Now()
	bucket, _ := r.retryBucket(now, j.service.Name)
	return bucket.Take(now)
}
