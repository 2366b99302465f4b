package operator

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/configurator"
)

// Bounds of the audit trail.
const (
	// maxRecordsPerDay is the maximum number of records of one day. 2,800 changes a day are expected in two years.
	maxRecordsPerDay = 10_000
	// maxRefusedPerDay is the number of records of a day above which rejected attempts are no longer stored. The
	// remaining records are reserved for accepted changes, so that a caller whose changes are rejected cannot use them
	// up. They exceed the number of accepted changes that is expected in a day.
	maxRefusedPerDay = 5_000
	// maxPendingRecords is the maximum number of records kept in memory during a store outage. Above it, the oldest
	// records are dropped.
	maxPendingRecords = 256
	// recordsPerChunk is the number of records that one call of List returns. The names of records determine it: a
	// prefix without the last two digits matches 100 records.
	recordsPerChunk = 100
	// maxSearchedRecords is the maximum number of records of a day that a search for an operation reads.
	maxSearchedRecords = 1_000
	// createAttempts is the maximum number of attempts to store a record. An attempt fails if another host has used the
	// number of the record.
	createAttempts = 16
	// retentionDays is the number of days after which the records of a day are deleted.
	retentionDays = 30
	// pruneDays is the number of days beyond the retention time that prune checks, because it may not have run on some
	// days.
	pruneDays = 7
)

// auditor is the in-memory part of the audit trail.
type auditor struct {
	mutex   sync.Mutex
	day     string    // day that next refers to
	next    int       // all numbers of the day below it are known to be in use
	pending []*record // records that are not stored yet, oldest first
	dropped int
}

// AuditBacklog returns the number of records that are kept in memory until the store accepts them, and the number of
// records that were dropped because of one of the bounds.
func (s *Server) AuditBacklog() (pending, dropped int) {
	s.audit.mutex.Lock()
	defer s.audit.mutex.Unlock()
	return len(s.audit.pending), s.audit.dropped
}

func (a *auditor) nextNumber(day string) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.day != day {
		return 0
	}
	return a.next
}

func (a *auditor) advance(day string, next int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if day < a.day {
		return
	}
	if day > a.day {
		a.day, a.next = day, 0
	}
	a.next = max(a.next, next)
}

func (a *auditor) enqueue(r *record) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.pending = append(a.pending, r)
	if excess := len(a.pending) - maxPendingRecords; excess > 0 {
		a.pending = slices.Delete(a.pending, 0, excess)
		a.dropped += excess
	}
}

func (a *auditor) takePending() []*record {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	taken := a.pending
	a.pending = nil
	return taken
}

func (a *auditor) pendingRecords() []record {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var records []record
	for _, r := range slices.Backward(a.pending) {
		records = append(records, *r)
	}
	return records
}

// save stores the record, under a new number if it has none, and keeps it in memory if that fails.
func (s *Server) save(ctx context.Context, r *record) {
	if err := s.store(ctx, r); err != nil {
		s.audit.enqueue(r)
	}
}

func (s *Server) store(ctx context.Context, r *record) error {
	if r.name == "" {
		limit := maxRecordsPerDay
		if r.result == refused {
			limit = maxRefusedPerDay
		}
		return s.create(ctx, r, limit)
	}
	body, err := r.encode()
	if err != nil {
		return &Error{Op: "audit", Kind: Invalid, Err: err}
	}
	version, err := s.Store.Put(ctx, r.name, body, r.version)
	if kindOf(err) == Conflict {
		return nil // only this server updates the record, so an earlier write took effect although its response was lost
	}
	if err != nil {
		return err
	}
	r.version = version
	return nil
}

// create stores the record under the first free number of its day. If the limit is reached, it drops the record of a
// rejected attempt and returns an error for every other record.
func (s *Server) create(ctx context.Context, r *record, limit int) error {
	body, err := r.encode()
	if err != nil {
		return &Error{Op: "audit", Kind: Invalid, Err: err}
	}
	day := r.day()
	number := s.audit.nextNumber(day)
	if number < limit {
		if number, err = s.firstFree(ctx, day, number); err != nil {
			return err
		}
	}
	for range createAttempts {
		if number >= limit {
			return s.overflow(r)
		}
		name := recordName(day, number)
		version, err := s.createAt(ctx, name, body, r)
		if err == nil {
			r.name, r.version = name, version
			s.audit.advance(day, number+1)
			return nil
		}
		if kindOf(err) == NotAccepted {
			return err
		}
		if kindOf(err) != Conflict {
			continue // the response was lost and the number is still free; a retry is safe because the write is conditional
		}
		number, err = s.firstFree(ctx, day, number+1)
		if err != nil {
			return err
		}
	}
	return &Error{Op: "audit", Kind: NotAccepted, Err: errors.New("the audit record could not be stored")}
}

// overflow handles a record above the limit: it drops the record of a rejected attempt and returns an error for every
// other record.
func (s *Server) overflow(r *record) error {
	if r.result != refused {
		return &Error{Op: "audit", Kind: NotAccepted, Err: errors.Newf("the audit trail of %s is full", r.day())}
	}
	s.audit.mutex.Lock()
	defer s.audit.mutex.Unlock()
	s.audit.dropped++
	return nil
}

// createAt stores the record under the name. It returns an error of kind Conflict if another record has that name. If
// the response to an earlier write of the same record was lost, it updates that record.
func (s *Server) createAt(ctx context.Context, name string, body []byte, r *record) (uint64, error) {
	version, err := s.Store.Put(ctx, name, body, 0)
	if err == nil || kindOf(err) == NotAccepted {
		return version, err
	}
	current := conflictObject(err)
	if kindOf(err) != Conflict {
		var readErr error
		if current, readErr = s.Store.Get(ctx, name); readErr != nil || current.Version == 0 {
			return 0, err
		}
	}
	existing, decodeErr := decodeRecord(current)
	if decodeErr == nil && existing.sameAttempt(r) && existing.result == r.result {
		return current.Version, nil
	}
	if decodeErr == nil && existing.sameAttempt(r) {
		return s.Store.Put(ctx, name, body, current.Version)
	}
	return 0, &Error{Op: "audit", Kind: Conflict, Current: current.Version}
}

// conflictObject returns the current object from an error of kind Conflict.
func conflictObject(err error) Object {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Stored
	}
	return Object{}
}

// firstFree returns the lowest number of the day without a record. All numbers below low must have a record. It uses
// exponential and then binary search, so the numbers in use must be without gaps.
func (s *Server) firstFree(ctx context.Context, day string, low int) (int, error) {
	step := 1
	high := low
	for high < maxRecordsPerDay {
		exists, err := s.recordExists(ctx, day, high)
		if err != nil {
			return 0, err
		}
		if !exists {
			break
		}
		low = high + 1
		high = low + step
		step *= 2
	}
	high = min(high, maxRecordsPerDay)
	for low < high {
		middle := (low + high) / 2
		exists, err := s.recordExists(ctx, day, middle)
		if err != nil {
			return 0, err
		}
		if exists {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low, nil
}

func (s *Server) recordExists(ctx context.Context, day string, number int) (bool, error) {
	object, err := s.Store.Get(ctx, recordName(day, number))
	if err != nil {
		return false, &Error{Op: "audit", Kind: NotAccepted, Err: err}
	}
	return object.Version != 0, nil
}

// flush stores the records that are kept in memory, oldest first.
func (s *Server) flush(ctx context.Context) error {
	pending := s.audit.takePending()
	for i, r := range pending {
		err := s.store(ctx, r)
		if err == nil {
			continue
		}
		for _, remaining := range pending[i:] {
			s.audit.enqueue(remaining)
		}
		return &Error{Op: "audit", Kind: kindOf(err), Err: err}
	}
	return nil
}

// prune deletes one chunk of records that are older than the retention time. It deletes the records of a day in
// descending order, because firstFree needs the remaining numbers to be without gaps.
func (s *Server) prune(ctx context.Context, now time.Time) error {
	for age := retentionDays + 1; age <= retentionDays+pruneDays; age++ {
		day := now.UTC().AddDate(0, 0, -age).Format(dayLayout)
		records, err := s.firstFree(ctx, day, 0)
		if err != nil {
			return err
		}
		if records > 0 {
			return s.deleteChunk(ctx, day, (records-1)/recordsPerChunk)
		}
	}
	return nil
}

func (s *Server) deleteChunk(ctx context.Context, day string, chunk int) error {
	_, objects, err := s.Store.List(ctx, chunkPrefix(day, chunk))
	if err != nil {
		return &Error{Op: "prune", Kind: NotAccepted, Err: err}
	}
	sortNewestFirst(objects)
	for _, object := range objects {
		if _, err := s.Store.Delete(ctx, object.Name, object.Version); err != nil {
			return &Error{Op: "prune", Kind: kindOf(err), Err: err}
		}
	}
	return nil
}

func sortNewestFirst(objects []Object) {
	slices.SortFunc(objects, func(a, b Object) int { return strings.Compare(b.Name, a.Name) })
}

// search returns up to limit matching records of the day, newest first. It reads only about the newest
// maxSearchedRecords records.
func (s *Server) search(ctx context.Context, day string, limit int, match func(*record) bool) ([]record, error) {
	total, err := s.firstFree(ctx, day, s.audit.nextNumber(day))
	if err != nil {
		return nil, err
	}
	var found []record
	lowest := max(0, total-maxSearchedRecords) / recordsPerChunk
	for chunk := (total - 1) / recordsPerChunk; total > 0 && chunk >= lowest; chunk-- {
		_, objects, err := s.Store.List(ctx, chunkPrefix(day, chunk))
		if err != nil {
			return nil, &Error{Op: "audit", Kind: NotAccepted, Err: err}
		}
		sortNewestFirst(objects)
		for _, object := range objects {
			decoded, err := decodeRecord(object)
			if err != nil || !match(&decoded) {
				continue // an undecodable record must not make the other records unavailable
			}
			if found = append(found, decoded); len(found) == limit {
				return found, nil
			}
		}
	}
	return found, nil
}

// recent returns the matching records of today and yesterday, newest first: those kept in memory, then the stored ones.
// If the store fails, it returns the records found so far and the error.
func (s *Server) recent(ctx context.Context, match func(*record) bool) ([]record, error) {
	var found []record
	for _, pending := range s.audit.pendingRecords() {
		if match(&pending) {
			found = append(found, pending)
		}
	}
	now := s.Now().UTC()
	for _, day := range []string{now.Format(dayLayout), now.AddDate(0, 0, -1).Format(dayLayout)} {
		stored, err := s.search(ctx, day, maxSearchedRecords, match)
		if err != nil {
			return found, err
		}
		found = append(found, stored...)
	}
	return found, nil
}

// Decision is an automatic decision of the system to make a change or to reject one.
type Decision struct {
	Writer  string // component that decided
	Call    string // name of the decision in kebab case
	Object  string // name of the affected object
	After   string // intended state
	Refused bool   // the change was not made
	Problem string // reason why the change was not made
}

// RecordDecision adds an automatic decision to the audit trail. If the record cannot be stored, it is kept in memory
// and stored later.
func (s *Server) RecordDecision(ctx context.Context, decision Decision) {
	outcome := accepted
	if decision.Refused {
		outcome = refused
	}
	s.save(ctx, &record{
		time:    s.Now(),
		origin:  configurator.Origin{Writer: decision.Writer},
		call:    decision.Call,
		object:  decision.Object,
		after:   decision.After,
		result:  outcome,
		problem: decision.Problem,
	})
}
