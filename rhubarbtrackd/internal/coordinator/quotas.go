package coordinator

import (
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/apportioner"
	"rhubarbtrack.example/core/matcher"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

// accountsInterval is the time between two removals of accounts that are no longer configured.
const accountsInterval = 2 * time.Second

// quotas gives the tokens of client accounts to hosts while this host is the controller. The host itself has the peer nil.
type quotas struct {
	controller *apportioner.Controller[*connector.Peer]
	config     *matcher.Config // from which the accounts were set
	setAt      time.Duration
	term       uint64          // the newest that was seen
	terms      []time.Duration // when terms were first seen, within the window or the lifetime of tokens
}

func newQuotas() quotas {
	return quotas{controller: apportioner.NewController[*connector.Peer](apportioner.Bounds{})}
}

func (c *Coordinator) quotaBounds() apportioner.Bounds {
	if c.options.QuotaBounds == nil {
		return apportioner.Bounds{}
	}
	return c.options.QuotaBounds()
}

// observeTerm records when a term was first seen. A host that missed some of them counts each.
func (q *quotas) observeTerm(now, window time.Duration, term uint64) {
	for len(q.terms) > 0 && now >= q.terms[0]+max(window, apportioner.Lifetime) {
		q.terms = q.terms[1:]
	}
	if term <= q.term {
		return
	}
	missed := term - q.term
	if q.term == 0 {
		missed = 1 // the earlier terms may have ended at any time
	}
	for range min(missed, 4) {
		q.terms = append(q.terms, now)
	}
	q.term = term
}

// begin starts a term of this host.
func (q *quotas) begin(now time.Duration, bounds apportioner.Bounds, term uint64, first bool) (recent int) {
	if !first {
		q.observeTerm(now, bounds.Window, term-1)
	}
	recent = len(q.terms)
	q.observeTerm(now, bounds.Window, term)
	q.controller.SetBounds(now, bounds)
	q.controller.Begin(now, first, recent)
	q.config = nil
	return recent
}

// beginQuotas is called when this host becomes the controller.
func (c *Coordinator) beginQuotas(term uint64) {
	now, first := c.options.Now(), c.contender.IsFirstTerm()
	recent := c.quotas.begin(now, c.quotaBounds(), term, first)
	c.options.Log.Log(eventlog.QuotasBegun, zap.Uint64("term", term), zap.Bool("first", first), zap.Int("recent-terms", recent))
}

// updateQuotas updates the limits from the configuration. It reports whether this host may give tokens now.
func (c *Coordinator) updateQuotas(now time.Duration) bool {
	if !c.contender.IsHolder() || c.snapshot == nil || c.snapshot.Config == nil || !c.snapshot.Config.HasAccounts {
		return false
	}
	q, config := &c.quotas, c.snapshot.Config
	q.controller.SetValid(now, c.contender.Valid(now))
	if q.config == config && now < q.setAt+accountsInterval {
		return true
	}
	var accounts []apportioner.Account
	for _, a := range config.Accounts {
		if a.Rate > 0 {
			accounts = append(accounts, apportioner.Account{Tag: apportioner.TagOf(a.Name), Rate: a.Rate, Burst: a.Burst})
		}
	}
	q.controller.SetBounds(now, c.quotaBounds())
	q.controller.SetAccounts(now, accounts)
	q.config, q.setAt = config, now
	return true
}

// grantsFor returns the grants for a host, or nil if this host gives no tokens now.
func (c *Coordinator) grantsFor(peer *connector.Peer) *apportioner.Grants {
	now := c.options.Now()
	if !c.updateQuotas(now) {
		return nil
	}
	grants := c.quotas.controller.Grants(now, peer)
	return &grants
}

// handleQuotas applies what a host reports of its tokens, and responds at once if requests wait for them.
func (c *Coordinator) handleQuotas(peer *connector.Peer, report apportioner.Report) {
	now := c.options.Now()
	if report.Term != c.contender.Term() {
		report.Ledger = 0 // ledgers of other controllers may have the same numbers
	}
	if len(report.Rows) == 0 || !c.updateQuotas(now) || !c.quotas.controller.Report(now, peer, report) {
		return
	}
	positions := c.hostList.positions(now, c.hub.Peers())
	for _, p := range c.quotas.controller.ApportionWaiting(now, peer) {
		if p == nil {
			c.options.OnGrants(now, c.contender.Term(), *c.grantsFor(nil))
			continue
		}
		if index, connected := positions.index[p]; connected {
			c.send(p, c.newStatus(now, p, index, positions.hosts))
		}
	}
}

// apportion gives tokens before a round of heartbeats.
func (c *Coordinator) apportion(now time.Duration) {
	if c.updateQuotas(now) {
		c.quotas.controller.Apportion(now)
	}
}

// ReportSoon makes the next report of this host not wait for its time. It does not block.
func (c *Coordinator) ReportSoon() {
	if record := c.leader.Load(); record == nil || record.Holder != c.options.Host {
		c.requestReport()
		return
	}
	if c.reportingSoon.Swap(true) {
		return
	}
	select {
	case c.events <- func() {
		c.reportingSoon.Store(false)
		if c.contender.IsHolder() {
			c.handleOwnReport()
		}
	}:
	default:
		c.reportingSoon.Store(false)
	}
}

// handleOwnReport handles the report of this host while it is the controller.
func (c *Coordinator) handleOwnReport() {
	report := c.options.Report()
	c.handleReport(report)
	c.handleQuotas(nil, report.Quotas)
}
