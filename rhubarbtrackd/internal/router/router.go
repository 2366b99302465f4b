// Package conductor answers requests of callers: it finds the route and the upstream, sends the request, and decides
// what follows from the outcome.
//
// # Usage
//
//	c := conductor.New(conductor.Options{...})
//	response := c.Handle(ctx, request)
//
// Rules that it keeps:
//
//   - A request that must not be repeated is sent again only when the former try certainly did not run.
//   - 503 is answered only when no try can have run.
//   - A request that cannot be served is refused at once, with the time after which it may come back.
package router

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/matcher"
	"rhubarbtrack.example/core/placer"
	"rhubarbtrack.example/core/rationer"
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/core/throttler"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/acceptor"
	"rhubarbtrack.example/rhubarbtrackd/internal/director"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/linker"
	"rhubarbtrack.example/rhubarbtrackd/internal/meter"
)

// Limits are what all hosts keep together.
type Limits struct {
	DrainDelay     time.Duration // an upstream that drains gets no request later than this
	TakeOutDelay   time.Duration // the same for a failure domain that is taken out
	RetryRatio     float64
	RetrySlack     float64
	ColdRateFactor float64
	ColdSlack      float64
}

// Options configures a Conductor.
type Options struct {
	FailureDomain string
	Limits        Limits
	Follower      *follower.Follower
	Tables        *director.Tables
	Pool          *exchanger.Pool
	Log           *eventlog.Logger
	Meter         *meter.Meter
	Now           func() time.Duration
	Seed          uint64
	// Shutdown is done when the process is about to end: requests get their final answers.
	Shutdown context.Context
}

// probeInterval is the time between two probes of a suspected upstream: a probe is paid for as a new connection.
const probeInterval = 400 * time.Millisecond

// defaultHosts is the number of hosts on which shares are based until a controller tells the real one.
const defaultHosts = 16

// Router is safe for concurrent use.
type Router struct {
	options      Options
	mutex        sync.Mutex
	estimator    *placer.Board
	admission    *rationer.Rationer
	coldBuckets  map[string]*throttler.Bucket
	retryBuckets map[string]*throttler.Bucket
	index        int
	hosts        int
	observed     observations
	sent         int // requests since the last call of Reach
	unsent       int
	probing      map[string]bool          // upstreams to which a probe is under way
	lastProbe    map[string]time.Duration // time of the last probe
	limits       atomic.Pointer[Limits]
}

// New returns a conductor.
func New(options Options) *Router {
	r := &Router{
		options: options, estimator: placer.New(options.Seed), admission: rationer.New(options.Seed), coldBuckets: map[string]*throttler.Bucket{},
		retryBuckets: map[string]*throttler.Bucket{}, index: int(options.Seed % defaultHosts), hosts: defaultHosts,
		observed: newObservations(), probing: map[string]bool{}, lastProbe: map[string]time.Duration{},
	}
	r.SetLimits(options.Limits)
	return r
}

// SetLimits replaces the limits.
func (r *Router) SetLimits(limits Limits) { r.limits.Store(&limits) }

// OnHeartbeat takes over what the controller says.
func (r *Router) OnHeartbeat(beat linker.Beat) {
	now := r.options.Now()
	loads, err := beat.Loads.Decode()
	if err != nil {
		r.options.Log.Log(eventlog.FrameRefused, eventlog.Cause(err))
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if beat.Hosts != r.hosts || beat.Index != r.index {
		r.hosts, r.index = beat.Hosts, beat.Index
		clear(r.coldBuckets)
	}
	for _, s := range loads {
		r.estimator.Report(now-s.Age, s.Upstream, s.Load)
	}
	for _, id := range beat.Suspects {
		if u, ok := r.options.Follower.Snapshot().Upstreams[id]; ok && !r.probing[id] && now >= r.lastProbe[id]+probeInterval {
			r.probing[id] = true
			r.lastProbe[id] = now
			r.estimator.Block(now, id)
			go r.probe(u)
		}
	}
}

// probe tries to connect to an upstream that refused another host.
func (r *Router) probe(u registrar.Upstream) {
	err := r.options.Pool.Probe(exchanger.Target{ID: u.ID, Address: u.Address})
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.probing, u.ID)
	if err == nil {
		r.observed.connects[u.ID] = connectReached
		r.estimator.Unblock(u.ID)
		return
	}
	r.observed.recordConnectFailure(u.ID, err, r.estimator.InFlight(u.ID))
	r.estimator.Block(r.options.Now(), u.ID)
}

// TakeSendCounts returns the numbers of requests since the last call that an upstream answered, and that could not be sent because
// their upstream cannot be reached.
func (r *Router) TakeSendCounts() (sent, unsent int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sent, unsent = r.sent, r.unsent
	r.sent, r.unsent = 0, 0
	return sent, unsent
}

func (r *Router) countSend(sent bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if sent {
		r.sent++
	} else {
		r.unsent++
	}
}

// Report returns what has been seen since the last call.
func (r *Router) Report() linker.Report {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.observed.take(r.options.Now())
}

// Sweep drops evidence about upstreams that are gone.
func (r *Router) Sweep() {
	upstreams := r.options.Follower.Snapshot().Upstreams
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.estimator.Forget(func(id string) bool { _, ok := upstreams[id]; return ok })
	for id := range r.lastProbe {
		if _, ok := upstreams[id]; !ok {
			delete(r.lastProbe, id)
		}
	}
	for id := range r.coldBuckets {
		if _, ok := upstreams[id]; !ok {
			delete(r.coldBuckets, id)
		}
	}
}

// job is one request on its way.
type job struct {
	request    *acceptor.Request
	id         string
	route      *matcher.Route
	service    matcher.Service
	header     http.Header
	key        uint16
	deadline   time.Time // the request gets its final answer by then
	timeLeft   time.Duration
	tried      map[string]bool
	attempts   int
	mayHaveRun bool // a try may have run
	// isRetry requests have probably been refused before.
	isRetry  bool
	estimate placer.Estimate // of the last choice, with its age
	loadAge  time.Duration
}

// Handle answers a request.
func (r *Router) Handle(ctx context.Context, request *acceptor.Request) *acceptor.Response {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.options.Shutdown, cancel)()
	snapshot := r.options.Follower.Snapshot()
	if snapshot.Config == nil {
		return r.reject(&job{request: request}, "no configuration", startupWait)
	}
	route, ok := snapshot.Config.Match(request.Host, request.Path)
	if !ok {
		return r.finish(&job{request: request}, http.StatusNotFound, "no route")
	}
	j := &job{request: request, route: route, id: request.Header.Get(translator.AttemptHeader), tried: map[string]bool{}}
	j.service = snapshot.Config.Services[route.Choose(j.id)]
	j.header = exchanger.Forwardable(request.Header)
	if !r.setDeadline(j) {
		return r.finish(j, http.StatusBadRequest, "invalid time left")
	}
	r.mutex.Lock()
	j.isRetry = r.admission.Returning(route.Name, j.timeLeft)
	r.mutex.Unlock()
	if !j.service.Keyed {
		return r.serve(ctx, j, r.chooseAny)
	}
	values := request.Header[translator.KeyHeader]
	if len(values) != 1 {
		return r.finish(j, http.StatusBadRequest, "not exactly one key")
	}
	key, err := strconv.ParseUint(values[0], 10, 16)
	if err != nil {
		return r.finish(j, http.StatusBadRequest, "invalid key")
	}
	j.key = uint16(key)
	r.mutex.Lock()
	r.observed.recordKey(j.service.Name, j.key)
	r.mutex.Unlock()
	return r.serve(ctx, j, r.chooseOwner)
}

func (r *Router) setDeadline(j *job) bool {
	j.timeLeft = j.route.Timeout
	if value := j.request.Header.Get(translator.TimeLeftHeader); value != "" {
		left, err := strconv.ParseInt(value, 10, 64)
		if err != nil || left < 0 {
			return false
		}
		j.timeLeft = time.Duration(left) * time.Millisecond
	}
	j.deadline = j.request.Arrived.Add(min(j.timeLeft, j.route.Timeout))
	return true
}

// choice is the decision where to send a request.
type choice struct {
	upstream registrar.Upstream
	reason   string        // why there is none
	wait     time.Duration // after which the caller may come back
	// unreachable is set when upstreams would serve the request and cannot be reached.
	unreachable bool
}

// serve sends the request until it has a final answer.
func (r *Router) serve(ctx context.Context, j *job, choose func(context.Context, *job) choice) *acceptor.Response {
	r.mutex.Lock()
	now := r.options.Now()
	bucket, perRequest := r.retryBucket(now, j.service.Name)
	bucket.Add(now, perRequest)
	r.mutex.Unlock()
	for {
		if ctx.Err() != nil {
			return r.abandon(j)
		}
		if !time.Now().Before(j.deadline) {
			return r.timeOut(j)
		}
		chosen := choose(ctx, j)
		if chosen.reason != "" {
			if chosen.unreachable {
				r.countSend(false)
			}
			return r.fail(j, chosen.reason, chosen.wait)
		}
		if j.attempts > 0 && !r.takeRetryToken(j) {
			return r.fail(j, "the retry budget is used up", retryWait)
		}
		answer, err := r.attempt(ctx, j, chosen.upstream)
		if err == nil || kindOf(err) == exchanger.NotSent {
			r.countSend(err == nil)
		}
		if response := r.handleOutcome(j, chosen.upstream, answer, err); response != nil {
			return response
		}
	}
}

// retryBucket returns the bucket of a service for further tries, and what each request adds to it. The caller holds the
// mutex.
func (r *Router) retryBucket(now time.Duration, service string) (bucket *throttler.Bucket, perRequest float64) {
	limits := r.limits.Load()
	perRequest, burst := throttler.RetryShare(limits.RetryRatio, limits.RetrySlack, r.hosts)
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

// attempt sends the request to an upstream once.
func (r *Router) attempt(ctx context.Context, j *job, u registrar.Upstream) (*exchanger.Answer, error) {
	began := r.options.Now()
	r.mutex.Lock()
	r.estimator.Begin(u.ID)
	r.mutex.Unlock()
	j.attempts++
	j.tried[u.ID] = true
	left := time.Until(j.deadline)
	call := &exchanger.Call{
		Method: j.request.Method, URI: j.request.Target, Host: j.request.Host, Header: j.header,
		Extra: [][2]string{
			{translator.TimeLeftHeader, strconv.FormatInt(max(1, left.Milliseconds()), 10)},
			{translator.UpstreamHeader, u.ID},
		},
		Body: j.request.Body, Stream: j.request.Stream, Length: j.request.Length,
		ID: j.id, Repeatable: j.route.Idempotent, Deadline: j.deadline,
	}
	answer, err := r.options.Pool.Do(ctx, exchanger.Target{ID: u.ID, Address: u.Address}, call)
	r.observe(began, j.estimate.Wait, u, answer, err)
	return answer, err
}

// observe turns an outcome into evidence.
func (r *Router) observe(began, expected time.Duration, u registrar.Upstream, answer *exchanger.Answer, err error) {
	now := r.options.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err != nil {
		defer func() {
			if kindOf(err) == exchanger.NotSent {
				r.observed.recordConnectFailure(u.ID, err, r.estimator.InFlight(u.ID))
			}
		}()
		r.estimator.End(now, u.ID, map[exchanger.Kind]placer.Outcome{
			exchanger.NotSent: placer.Unreachable, exchanger.Broken: placer.Failed,
			exchanger.Late: placer.Failed, exchanger.Cancelled: placer.Abandoned,
		}[kindOf(err)])
		return
	}
	refused := isRejection(answer)
	outcome := placer.Answered
	switch {
	case refused:
		outcome = placer.Rejected
	case answer.Status >= 500:
		outcome = placer.Failed
	}
	r.estimator.End(now, u.ID, outcome)
	load, ok := translator.Load(answer.Header.Get(translator.LoadHeader))
	if !ok {
		return
	}
	r.estimator.Report(now, u.ID, load)
	r.observed.recordLoad(now, u.ID, load)
	if !refused && answer.Status < 500 {
		// An upstream that is always busy would never be measured if only requests without a wait counted.
		taken := now - began
		run := max(taken-expected, time.Duration(minRunShare*float64(taken)))
		r.estimator.Measure(u.ID, run, load.Pace)
		r.observed.recordTime(u.ID, run)
	}
}

// minRunShare bounds the error of the expected wait, which is taken off the time of a request to get its run.
const minRunShare = 0.25

func isRejection(answer *exchanger.Answer) bool {
	return translator.Refused(answer.Status, answer.Header)
}

// logAttempt tells of a try that failed.
func (r *Router) logAttempt(j *job, u registrar.Upstream, outcome string, err error) {
	r.options.Log.Log(eventlog.RequestAttempted, zap.String("request", j.id), zap.String("upstream", u.ID),
		zap.Int("try", j.attempts), zap.String("outcome", outcome), eventlog.Cause(err))
}
