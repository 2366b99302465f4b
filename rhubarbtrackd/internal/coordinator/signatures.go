package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/serializer"
)

const (
	// minSharedCrashes is the number of crashes from which the status of a signature is sent to other hosts. After the loss
	// of a failure domain, thousands of requests have seen one crash.
	minSharedCrashes = 2
	// maxQueuedSignatures bounds each list of a signatureQueue. The store holds blocked signatures that do not fit.
	maxQueuedSignatures = detector.DefaultBound
	// maxBlockedWrites bounds the blocked requests that are written to the store at the same time.
	maxBlockedWrites = 16
	// collectTime is the time after which the observations of all hosts have arrived: a probe of the upstream, and a report that
	// does not wait. The rest is for hosts and links that are late.
	collectTime = connector.ReportInterval
	// blockedWriteInterval is the time between two attempts to write a blocked request to the store.
	blockedWriteInterval = time.Second
)

// signatureQueue holds what other hosts and the store have to receive about requests that crash upstreams. It is safe for
// concurrent use.
type signatureQueue struct {
	mutex   sync.Mutex
	changed []detector.Report
	unsaved []unsavedBlock
	// disproved holds the signatures of which changed has a disproof.
	disproved map[uint64]bool
}

// unsavedBlock is a signature that was blocked or whose block was lifted, with the time at which the age of its report was
// measured.
type unsavedBlock struct {
	report detector.Report
	at     time.Duration
}

// addChanged queues a status for the other hosts.
func (q *signatureQueue) addChanged(report detector.Report) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.changed) < maxQueuedSignatures {
		q.changed = append(q.changed, report)
	}
}

// addDisproof queues the reports that disprove returns for a signature, unless some are queued already.
func (q *signatureQueue) addDisproof(signature uint64, disprove func() []detector.Report) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.disproved[signature] || len(q.changed) >= maxQueuedSignatures {
		return
	}
	reports := disprove()
	if len(reports) == 0 {
		return
	}
	if q.disproved == nil {
		q.disproved = map[uint64]bool{}
	}
	q.disproved[signature] = true
	q.changed = append(q.changed, reports...)
}

// addUnsaved queues a signature whose object in the store has to be written or removed.
func (q *signatureQueue) addUnsaved(now time.Duration, report detector.Report) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.unsaved) < maxQueuedSignatures {
		q.unsaved = append(q.unsaved, unsavedBlock{report, now})
	}
}

// hasBlocked reports whether a newly blocked signature waits to be sent.
func (q *signatureQueue) hasBlocked() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return slices.ContainsFunc(q.changed, func(r detector.Report) bool { return r.Status == detector.Blocked })
}

func (q *signatureQueue) takeChanged() []detector.Report {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	taken := q.changed
	q.changed, q.disproved = nil, nil
	return taken
}

// takeUnsaved returns up to count signatures whose objects in the store have to be written or removed.
func (q *signatureQueue) takeUnsaved(count int) []unsavedBlock {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	count = min(count, len(q.unsaved))
	taken := q.unsaved[:count]
	q.unsaved = q.unsaved[count:]
	return taken
}

// isShared reports whether other hosts have to know a status.
func isShared(report detector.Report) bool {
	return report.Status == detector.Blocked || report.Crashes >= minSharedCrashes
}

func sharedSignatures(reports []detector.Report) []detector.Report {
	var shared []detector.Report
	for _, report := range reports {
		if isShared(report) {
			shared = append(shared, report)
		}
	}
	return shared
}

// ShareSignature queues a status that this host has changed for the other hosts and, if it is blocked, for the store. It
// does not block and may be called from any goroutine.
func (c *Coordinator) ShareSignature(report detector.Report) {
	if report.Status == detector.Blocked {
		c.reportBlocked.Store(true)
	}
	if report.Status != detector.Clear {
		c.requestReport()
	}
	if isShared(report) {
		c.signatures.addChanged(report)
	}
	if report.Status == detector.Blocked || isLifted(report) {
		c.signatures.addUnsaved(c.options.Now(), report)
	}
}

// isLifted reports whether a status is that of a signature that was blocked before.
func isLifted(report detector.Report) bool {
	return report.Status == detector.Clear && report.Crashes >= detector.DefaultMaxCrashes
}

// requestReport makes the next report of this host not wait for its time.
func (c *Coordinator) requestReport() {
	select {
	case c.reportSoon <- struct{}{}:
	default:
	}
}

// ShareStored queues blocked requests that this host has read from the store for the other hosts.
func (c *Coordinator) ShareStored(reports []detector.Report) {
	for _, report := range reports {
		c.signatures.addChanged(report)
	}
}

// recordCrashes passes on what a host has observed about requests that may crash upstreams.
func (c *Coordinator) recordCrashes(now time.Duration, report connector.Report) {
	for _, i := range report.Interruptions {
		c.options.Suspector.Record(now, detector.Interrupted{
			Signature: i.Signature, Variant: i.Variant, Upstream: i.Upstream.String(), SentAt: now - i.SentAge, EndedAt: now - i.EndedAge,
		})
	}
	for _, e := range report.Ended {
		c.options.Suspector.Record(now, detector.Ended{Upstream: e.Upstream.String(), At: now - e.Age})
	}
	for _, signature := range report.Completed {
		c.options.Suspector.Record(now, detector.Completed{Signature: signature})
	}
	// The host counts these interruptions on its own as well, because it does not know that other hosts were served.
	for _, i := range report.Interruptions {
		c.signatures.addDisproof(i.Signature, func() []detector.Report { return c.options.Suspector.Disprove(now, i.Signature) })
	}
	c.mergeBlocked(now, report.Blocked)
}

// settleCrashes counts the interruptions of which all observations have arrived.
func (c *Coordinator) settleCrashes(now time.Duration) {
	c.options.Suspector.Record(now, detector.Collected{Until: now - collectTime})
}

// mergeBlocked passes blocks of a host on to the other hosts, and lifts those of requests that this host trusts. The host may
// not have seen that an upstream has run such a request, and the store, from which all hosts read blocks, may be unavailable.
func (c *Coordinator) mergeBlocked(now time.Duration, reports []detector.Report) {
	for _, report := range reports {
		if c.options.Suspector.Status(now, report.Signature) == detector.Blocked {
			continue
		}
		if disproved := c.options.Suspector.Merge(now, []detector.Report{report}); len(disproved) > 0 {
			c.options.Suspector.Record(now, detector.Completed{Signature: report.Signature})
			continue
		}
		c.signatures.addChanged(report)
	}
}

// storeBlocked writes newly blocked requests to the store, so that hosts that start or cannot reach the controller read
// them there. It removes those whose block was lifted.
func (c *Coordinator) storeBlocked(ctx context.Context) {
	isHolder := c.contender.IsHolder()
	for _, block := range c.signatures.takeUnsaved(maxBlockedWrites - c.blockedWrites) {
		c.blockedWrites++
		c.spawn(ctx, func() {
			defer c.post(func() { c.blockedWrites-- })
			c.writeBlocked(ctx, block)
			if isHolder {
				c.deleteExpired(ctx)
			}
		})
	}
}

// writeBlocked writes a blocked request to the store, or removes it. It retries until the block expires.
func (c *Coordinator) writeBlocked(ctx context.Context, block unsavedBlock) {
	report := block.report
	name := serializer.BlockedName(report.Signature)
	for ctx.Err() == nil {
		report.Age = block.report.Age + c.options.Now() - block.at
		if report.Age >= detector.DefaultRetention {
			return
		}
		err := c.saveBlock(ctx, name, report)
		if err == nil {
			return
		}
		c.options.Log.Log(eventlog.BlockedWriteFailed, zap.String("signature", name), eventlog.Cause(err))
		select {
		case <-ctx.Done():
		case <-time.After(blockedWriteInterval):
		}
	}
}

// saveBlock writes a blocked request to the store, or removes it if its block was lifted.
func (c *Coordinator) saveBlock(ctx context.Context, name string, report detector.Report) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if isLifted(report) {
		return c.options.Store.Delete(ctx, serializer.BlockedKind, name)
	}
	return c.createBlocked(ctx, name, report)
}

// createBlocked writes a blocked request to the store. An object that another host has written for the same block counts
// as success; one of an earlier block is replaced.
func (c *Coordinator) createBlocked(ctx context.Context, name string, report detector.Report) error {
	data, err := serializer.EncodeBlocked(time.Now(), report)
	if err != nil {
		return err
	}
	_, err = c.options.Store.Create(ctx, serializer.BlockedKind, name, data)
	current := conflictObject(err)
	if current == nil {
		return err
	}
	stored, err := serializer.DecodeBlocked(time.Now(), name, current.Specification)
	if err == nil && stored.Age < detector.DefaultRetention {
		return nil
	}
	_, err = c.options.Store.Replace(ctx, serializer.BlockedKind, name, current.Version(), data)
	return err
}

// deleteExpired removes the objects of blocks that have expired.
func (c *Coordinator) deleteExpired(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	failed := func(err error) { c.options.Log.Log(eventlog.BlockedWriteFailed, eventlog.Cause(err)) }
	list, err := c.options.Store.List(ctx, serializer.BlockedKind, 0, func(_ []byte, err error) { failed(err) })
	if err != nil {
		failed(err)
		return
	}
	for _, object := range list.Objects {
		stored, err := serializer.DecodeBlocked(time.Now(), object.Name, object.Specification)
		if err == nil && stored.Age < detector.DefaultRetention {
			continue
		}
		if err := c.options.Store.Delete(ctx, serializer.BlockedKind, object.Name); err != nil {
			failed(err)
		}
	}
}
