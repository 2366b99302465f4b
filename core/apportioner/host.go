package apportioner

import (
	"maps"
	"slices"
	"time"
)

// Host takes the tokens of one host.
type Host struct {
	bounds  Bounds
	current *confirmation
	shares  map[Tag]*share
	changed map[Tag]bool // since the last report
	// uncontrolled is set while the controller is of an earlier version, which gives no tokens. hosts is then the number of hosts
	// that share the limits in equal parts.
	uncontrolled bool
	hosts        int
}

// confirmation is the time until which the tokens of a ledger may be used.
type confirmation struct {
	term, ledger uint64
	expires      time.Duration
}

// share holds the tokens of one account on this host.
type share struct {
	tag                Tag
	confirmation       *confirmation // of its tokens; nil: it has got none
	granted, taken     uint64        // taken includes the pending ones
	pending            uint64        // taken for requests that are not sent yet
	returned, refunded uint64
	asked, waiting     uint64
	keep               uint64
	waitUntil          time.Duration
	staticTokens       float64 // of the equal part
	staticAt           time.Duration
	hasStatic          bool
}

// Token admits one request.
type Token struct {
	share        *share
	confirmation *confirmation
	spent        bool
}

// Expired reports whether the token admits no request any more.
func (t *Token) Expired(now time.Duration) bool {
	return t.confirmation != nil && now >= t.confirmation.expires
}

// Verdict is the result of Take.
type Verdict int

const (
	// Admitted means that the request has a token.
	Admitted Verdict = iota + 1
	// Wanting means that this host has no token, and the controller may have some. It is asked with the next report.
	Wanting
	// Exhausted means that the account has reached its limit.
	Exhausted
	// Starting means that this host has started and has not got any grants yet.
	Starting
	// Unconfirmed means that this host has no token and gets none, because it is not in touch with a controller.
	Unconfirmed
)

// NewHost returns a host without tokens.
func NewHost(bounds Bounds) *Host {
	return &Host{bounds: bounds.normalized(), shares: map[Tag]*share{}, changed: map[Tag]bool{}}
}

// SetBounds replaces the bounds.
func (h *Host) SetBounds(bounds Bounds) { h.bounds = bounds.normalized() }

// Ask records a request of an account. It is called once for each request, before Take.
func (h *Host) Ask(account Account) {
	s := h.share(account.Tag)
	s.asked = min(s.asked+1, maxCount)
	h.changed[s.tag] = true
}

func (h *Host) share(tag Tag) *share {
	s := h.shares[tag]
	if s == nil {
		s = &share{tag: tag}
		h.shares[tag] = s
	}
	return s
}

// Take takes a token for a request. If there is none, it returns the time after which the caller may retry.
func (h *Host) Take(now time.Duration, account Account) (*Token, Verdict, time.Duration) {
	s := h.share(account.Tag)
	if h.uncontrolled {
		return h.takeStatic(now, account, s)
	}
	if s.confirmation != nil && now < s.confirmation.expires && s.taken+s.returned < s.granted {
		s.taken++
		s.pending++
		return &Token{share: s, confirmation: s.confirmation}, Admitted, 0
	}
	switch {
	case h.current == nil:
		return nil, Starting, minWait
	case now >= h.current.expires:
		return nil, Unconfirmed, minWait
	case now < s.waitUntil:
		return nil, Exhausted, max(waitStep, s.waitUntil-now)
	}
	return nil, Wanting, minWait
}

// takeStatic takes a token of this host's equal part of the limit. A host may use a full bucket and its refill in a window, which
// are half of the part each.
func (h *Host) takeStatic(now time.Duration, account Account, s *share) (*Token, Verdict, time.Duration) {
	half := h.bounds.Bound(account) * usedShare / float64(max(1, h.hosts)) / 2
	rate := half / h.bounds.Window.Seconds()
	if !s.hasStatic {
		s.hasStatic, s.staticTokens, s.staticAt = true, half, now
	}
	s.staticTokens = min(half, s.staticTokens+rate*max(0, now-s.staticAt).Seconds())
	s.staticAt = now
	if s.staticTokens >= 1 {
		s.staticTokens--
		return &Token{}, Admitted, 0
	}
	if half < 1 {
		return nil, Exhausted, maxWait
	}
	return nil, Exhausted, min(maxWait, max(waitStep, time.Duration((1-s.staticTokens)/rate*float64(time.Second))))
}

// Wait records that a request begins (1) or ends (-1) to wait for a token.
func (h *Host) Wait(account Account, change int) {
	s := h.share(account.Tag)
	s.waiting = uint64(max(0, int(s.waiting)+change))
	h.changed[s.tag] = true
}

// Spend records that the request with a token is sent now. It returns false if the token has expired: then the request needs
// another one.
func (h *Host) Spend(now time.Duration, token *Token) bool {
	if token.share == nil || token.spent {
		return true
	}
	if token.Expired(now) {
		return false
	}
	token.spent = true
	if token.share.confirmation == token.confirmation {
		token.share.pending--
		h.changed[token.share.tag] = true
	}
	return true
}

// Return gives back the token of a request that has not run.
func (h *Host) Return(token *Token) {
	s := token.share
	if s == nil || s.confirmation != token.confirmation {
		return
	}
	token.share = nil
	h.changed[s.tag] = true
	if token.spent {
		s.refunded++
		return
	}
	s.pending--
	s.taken--
}

// Report returns the changes since the last report.
func (h *Host) Report() Report {
	var report Report
	if h.current != nil {
		report.Term, report.Ledger = h.current.term, h.current.ledger
	}
	tags := slices.Sorted(maps.Keys(h.changed))
	for _, tag := range tags[:min(len(tags), MaxRows)] {
		s := h.shares[tag]
		row := ReportRow{Account: tag, Asked: s.asked, Waiting: s.waiting}
		if s.confirmation != nil && s.confirmation == h.current {
			s.returnIdle()
			row.Spent, row.Returned, row.Refunded = s.taken-s.pending, s.returned, s.refunded
		}
		s.asked = 0
		if s.waiting == 0 {
			delete(h.changed, tag)
		}
		report.Rows = append(report.Rows, row)
	}
	return report
}

// returnIdle returns the tokens beyond those that the host may keep.
func (s *share) returnIdle() {
	if held := s.granted - s.taken - s.returned; held > s.keep {
		s.returned += held - s.keep
	}
}

// Apply applies grants that the controller made at madeAt or later, on the clock of this host. Tokens of an earlier ledger may be
// used until they expire, or until the account gets tokens of this one. The result is set if the next report returns tokens.
func (h *Host) Apply(now, madeAt time.Duration, term uint64, grants Grants) (returns bool) {
	h.uncontrolled = false
	if h.current == nil || h.current.term != term || h.current.ledger != grants.Ledger {
		if h.current != nil && (term < h.current.term || term == h.current.term && grants.Ledger < h.current.ledger) {
			return false
		}
		h.current = &confirmation{term: term, ledger: grants.Ledger}
	}
	if grants.Confirms {
		h.current.expires = max(h.current.expires, madeAt+Lifetime)
	}
	for _, row := range grants.Rows[:min(len(grants.Rows), MaxRows)] {
		s := h.share(row.Account)
		if s.confirmation != h.current {
			s.confirmation = h.current
			s.granted, s.taken, s.pending, s.returned, s.refunded = 0, 0, 0, 0, 0
		}
		s.granted = max(s.granted, row.Granted)
		s.keep, s.waitUntil = row.Keep, now+min(row.Wait, maxWait)
		if s.granted-s.taken-s.returned > s.keep {
			h.changed[s.tag], returns = true, true
		}
	}
	return returns
}

// ApplyNone records a heartbeat of a controller that gives no tokens because it is of an earlier version.
func (h *Host) ApplyNone(hosts int) { h.uncontrolled, h.hosts = true, hosts }

// Forget removes the accounts that are not listed and hold no tokens. Those of the present ledger stay also when their tokens have
// expired: its counts are totals, and without the number of used tokens, all would count as unused once it is confirmed again.
func (h *Host) Forget(now time.Duration, isListed func(Tag) bool) {
	for tag, s := range h.shares {
		ended := s.confirmation == nil || s.confirmation != h.current && now >= s.confirmation.expires
		if !isListed(tag) && s.waiting == 0 && s.pending == 0 && ended {
			delete(h.shares, tag)
			delete(h.changed, tag)
		}
	}
}

// Usable returns the number of tokens of an account that this host may still take.
func (h *Host) Usable(now time.Duration, tag Tag) int {
	s := h.shares[tag]
	if s == nil || s.confirmation == nil || now >= s.confirmation.expires {
		return 0
	}
	return int(s.granted - s.taken - s.returned)
}
