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
	"rhubarbtrack.example/core/registrar"
	"rhubarbtrack.example/core/selector"
	"rhubarbtrack.example/core/shedder"
	"rhubarbtrack.example/core/throttler"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/acceptor"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
	"rhubarbtrack.example/rhubarbtrackd/internal/follower"
	"rhubarbtrack.example/rhubarbtrackd/internal/meter"
	"rhubarbtrack.example/rhubarbtrackd/internal/resolver"
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
	Tables        *resolver.Tables
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

// assumedHosts is the number of hosts on which shares are based until a controller tells the real one.
const assumedHosts = 16

// Router is safe for concurrent use.
type Router struct {
	options Options
	mutex   sync.Mutex
	board   *selector.Selector
	rations *shedder.Shedder
	cold    map[string]*throttler.Bucket
	retries map[string]*throttler.Bucket
	index   int
	hosts   int
	seen    observations
	sent    int // requests since the last call of Reach
	unsent  int
	probing map[string]bool          // upstreams to which a probe is under way
	probed  map[string]time.Duration // time of the last probe
	limits  atomic.Pointer[Limits]
}

// New returns a conductor.
func New(options Options) *Router {
	c := &Router{
		options: options, board: selector.New(options.Seed), rations: shedder.New(options.Seed), cold: map[string]*throttler.Bucket{},
		retries: map[string]*throttler.Bucket{}, index: int(options.Seed % assumedHosts), hosts: assumedHosts,
		seen: newObservations(), probing: map[string]bool{}, probed: map[string]time.Duration{},
	}
	c.SetLimits(options.Limits)
	return c
}

// SetLimits replaces the limits.
func (c *Router) SetLimits(limits Limits) { c.limits.Store(&limits) }

// OnHeartbeat takes over what the controller says.
func (c *Router) OnHeartbeat(beat connector.Heartbeat) {
	now := c.options.Now()
	loads, err := beat.Loads.Decode()
	if err != nil {
		c.options.Log.Log(eventlog.FrameRefused, eventlog.Cause(err))
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if beat.Hosts != c.hosts || beat.Index != c.index {
		c.hosts, c.index = beat.Hosts, beat.Index
		clear(c.cold)
	}
	for _, s := range loads {
		c.board.RecordLoad(now-s.Age, s.Upstream, s.Load)
	}
	for _, id := range beat.Suspects {
		if u, ok := c.options.Follower.Snapshot().Upstreams[id]; ok && !c.probing[id] && now >= c.probed[id]+probeInterval {
			c.probing[id] = true
			c.probed[id] = now
			c.board.Block(now, id)
			go c.probe(u)
		}
	}
}

// probe tries to connect to an upstream that refused another host.
func (c *Router) probe(u registrar.Upstream) {
	err := c.options.Pool.Probe(exchanger.Target{ID: u.ID, Address: u.Address})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.probing, u.ID)
	if err == nil {
		c.seen.contacts[u.ID] = reached
		c.board.Unblock(u.ID)
		return
	}
	c.seen.contact(u.ID, err, c.board.InFlight(u.ID))
	c.board.Block(c.options.Now(), u.ID)
}

// TakeSendCounts returns the numbers of requests since the last call that an upstream answered, and that could not be sent because
// their upstream cannot be reached.
func (c *Router) TakeSendCounts() (sent, unsent int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	sent, unsent = c.sent, c.unsent
	c.sent, c.unsent = 0, 0
	return sent, unsent
}

func (c *Router) countReach(sent bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if sent {
		c.sent++
	} else {
		c.unsent++
	}
}

// Report returns what has been seen since the last call.
func (c *Router) Report() connector.Report {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.seen.take(c.options.Now())
}

// Sweep drops evidence about upstreams that are gone.
func (c *Router) Sweep() {
	upstreams := c.options.Follower.Snapshot().Upstreams
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.board.Forget(func(id string) bool { _, ok := upstreams[id]; return ok })
	for id := range c.probed {
		if _, ok := upstreams[id]; !ok {
			delete(c.probed, id)
		}
	}
	for id := range c.cold {
		if _, ok := upstreams[id]; !ok {
			delete(c.cold, id)
		}
	}
}

// job is one request on its way.
type job struct {
	request  *acceptor.Request
	id       string
	route    *matcher.Route
	service  matcher.Service
	header   http.Header
	key      uint16
	deadline time.Time // the request gets its final answer by then
	left     time.Duration
	tried    map[string]bool
	tries    int
	ran      bool // a try may have run
	// returning requests have probably been refused before.
	returning bool
	estimate  selector.Estimate // of the last choice, with its age
	age       time.Duration
}

// Handle answers a request.
func (c *Router) Handle(ctx context.Context, request *acceptor.Request) *acceptor.Response {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.options.Shutdown, cancel)()
	snapshot := c.options.Follower.Snapshot()
	if snapshot.Config == nil {
		return c.reject(&job{request: request}, "no configuration", startWait)
	}
	route, ok := snapshot.Config.Match(request.Host, request.Path)
	if !ok {
		return c.final(&job{request: request}, http.StatusNotFound, "no route")
	}
	j := &job{request: request, route: route, id: request.Header.Get(translator.AttemptHeader), tried: map[string]bool{}}
	j.service = snapshot.Config.Services[route.Choose(j.id)]
	j.header = exchanger.Forwardable(request.Header)
	if !c.setDeadline(j) {
		return c.final(j, http.StatusBadRequest, "invalid time left")
	}
	c.mutex.Lock()
	j.returning = c.rations.LikelyRetry(route.Name, j.left)
	c.mutex.Unlock()
	if !j.service.Keyed {
		return c.serve(ctx, j, c.chooseAny)
	}
	values := request.Header[translator.KeyHeader]
	if len(values) != 1 {
		return c.final(j, http.StatusBadRequest, "not exactly one key")
	}
	key, err := strconv.ParseUint(values[0], 10, 16)
	if err != nil {
		return c.final(j, http.StatusBadRequest, "invalid key")
	}
	j.key = uint16(key)
	c.mutex.Lock()
	c.seen.key(j.service.Name, j.key)
	c.mutex.Unlock()
	return c.serve(ctx, j, c.chooseOwner)
}

func (c *Router) setDeadline(j *job) bool {
	j.left = j.route.Timeout
	if value := j.request.Header.Get(translator.TimeLeftHeader); value != "" {
		left, err := strconv.ParseInt(value, 10, 64)
		if err != nil || left < 0 {
			return false
		}
		j.left = time.Duration(left) * time.Millisecond
	}
	j.deadline = j.request.Arrived.Add(min(j.left, j.route.Timeout))
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
func (c *Router) serve(ctx context.Context, j *job, choose func(context.Context, *job) choice) *acceptor.Response {
	c.mutex.Lock()
	now := c.options.Now()
	bucket, perRequest := c.retryBucket(now, j.service.Name)
	bucket.Add(now, perRequest)
	c.mutex.Unlock()
	for {
		if ctx.Err() != nil {
			return c.abandon(j)
		}
		if !time.Now().Before(j.deadline) {
			return c.timeOut(j)
		}
		chosen := choose(ctx, j)
		if chosen.reason != "" {
			if chosen.unreachable {
				c.countReach(false)
			}
			return c.giveUp(j, chosen.reason, chosen.wait)
		}
		if j.tries > 0 && !c.takeRetry(j) {
			return c.giveUp(j, "the retry budget is used up", retryWait)
		}
		answer, err := c.try(ctx, j, chosen.upstream)
		if err == nil || kindOf(err) == exchanger.NotSent {
			c.countReach(err == nil)
		}
		if response := c.conclude(j, chosen.upstream, answer, err); response != nil {
			return response
		}
	}
}

// retryBucket returns the bucket of a service for further tries, and what each request adds to it. The caller holds the
// mutex.
func (c *Router) retryBucket(now time.Duration, service string) (bucket *throttler.Bucket, perRequest float64) {
	limits := c.limits.Load()
	perRequest, burst := throttler.RetryShare(limits.RetryRatio, limits.RetrySlack, c.hosts)
	bucket = c.retries[service]
	if bucket == nil {
		bucket = throttler.NewBucket(now, 0, burst)
		c.retries[service] = bucket
	}
	bucket.Set(now, 0, burst)
	return bucket, perRequest
}

func (c *Router) takeRetry(j *job) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.options.Now()
	bucket, _ := c.retryBucket(now, j.service.Name)
	return bucket.Take(now)
}

// try sends the request to an upstream once.
func (c *Router) try(ctx context.Context, j *job, u registrar.Upstream) (*exchanger.Response, error) {
	began := c.options.Now()
	c.mutex.Lock()
	c.board.Begin(u.ID)
	c.mutex.Unlock()
	j.tries++
	j.tried[u.ID] = true
	left := time.Until(j.deadline)
	call := &exchanger.Request{
		Method: j.request.Method, URI: j.request.Target, Host: j.request.Host, Header: j.header,
		Extra: [][2]string{
			{translator.TimeLeftHeader, strconv.FormatInt(max(1, left.Milliseconds()), 10)},
			{translator.UpstreamHeader, u.ID},
		},
		Body: j.request.Body, Stream: j.request.Stream, Length: j.request.Length,
		ID: j.id, Repeatable: j.route.Idempotent, Deadline: j.deadline,
	}
	answer, err := c.options.Pool.Do(ctx, exchanger.Target{ID: u.ID, Address: u.Address}, call)
	c.observe(began, j.estimate.Wait, u, answer, err)
	return answer, err
}

// observe turns an outcome into evidence.
func (c *Router) observe(began, expected time.Duration, u registrar.Upstream, answer *exchanger.Response, err error) {
	now := c.options.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		defer func() {
			if kindOf(err) == exchanger.NotSent {
				c.seen.contact(u.ID, err, c.board.InFlight(u.ID))
			}
		}()
		c.board.End(now, u.ID, map[exchanger.Kind]selector.Outcome{
			exchanger.NotSent: selector.Unreachable, exchanger.NoResponse: selector.Failed,
			exchanger.TimedOut: selector.Failed, exchanger.Cancelled: selector.Abandoned,
		}[kindOf(err)])
		return
	}
	refused := isRefusal(answer)
	outcome := selector.Answered
	switch {
	case refused:
		outcome = selector.Rejected
	case answer.Status >= 500:
		outcome = selector.Failed
	}
	c.board.End(now, u.ID, outcome)
	load, ok := translator.Load(answer.Header.Get(translator.LoadHeader))
	if !ok {
		return
	}
	c.board.RecordLoad(now, u.ID, load)
	c.seen.load(now, u.ID, load)
	if !refused && answer.Status < 500 {
		// An upstream that is always busy would never be measured if only requests without a wait counted.
		taken := now - began
		run := max(taken-expected, time.Duration(leastRunShare*float64(taken)))
		c.board.RecordRunTime(u.ID, run, load.Slowdown)
		c.seen.timing(u.ID, run)
	}
}

// leastRunShare bounds the error of the expected wait, which is taken off the time of a request to get its run.
const leastRunShare = 0.25

func isRefusal(answer *exchanger.Response) bool {
	return translator.Refused(answer.Status, answer.Header)
}

// logAttempt tells of a try that failed.
func (c *Router) logAttempt(j *job, u registrar.Upstream, outcome string, err error) {
	c.options.Log.Log(eventlog.RequestAttempted, zap.String("request", j.id), zap.String("upstream", u.ID),
		zap.Int("try", j.tries), zap.String("outcome", outcome), eventlog.Cause(err))
}
