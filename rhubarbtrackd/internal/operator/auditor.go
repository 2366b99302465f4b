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
	// maxRecordsPerDay bounds the trail of a day; 2,800 changes a day are expected in two years.
	maxRecordsPerDay = 10_000
	// maxRefusedPerDay is the number from which refused attempts are no longer stored, so that a caller whose changes are
	// refused leaves more records than a day of accepted changes needs.
	maxRefusedPerDay = 5_000
	// maxPendingRecords bounds the records kept in memory during an outage. The oldest ones are dropped.
	maxPendingRecords = 256
	// recordsPerChunk is the number of records that one List returns. It follows from the names of records.
	recordsPerChunk = 100
	// maxSearchedRecords bounds the search for an operation.
	maxSearchedRecords = 1_000
	// createAttempts bounds how often a number is chosen again because another host took it.
	createAttempts = 16
	// retentionDays is the age from which the records of a day are deleted.
	retentionDays = 30
	// pruneDays is how far behind the retention prune looks, for days on which it did not run.
	pruneDays = 7
)

// auditor is the in-memory part of the audit trail.
type auditor struct {
	mutex   sync.Mutex
	day     string    // day of next
	next    int       // no record of day with a lower number is missing
	pending []*record // records that the store has not taken yet, oldest first
	dropped int
}

// AuditBacklog returns the number of records that wait for the store and the number dropped at one of the bounds.
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

// save stores the record, under a new number if it has none, and keeps it in memory if the store does not take it.
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
		return nil // only this server completes the record, so an earlier attempt with a lost answer took effect
	}
	if err != nil {
		return err
	}
	r.version = version
	return nil
}

// create stores the record under the first free number of its day. A record above the limit is dropped when it is a
// refused attempt, and is an error otherwise.
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
			continue // the answer was lost and the number is still free: the write is conditional and may be repeated
		}
		number, err = s.firstFree(ctx, day, number+1)
		if err != nil {
			return err
		}
	}
	return &Error{Op: "audit", Kind: NotAccepted, Err: errors.New("the audit record could not be stored")}
}

// overflow drops a refused attempt for which there is no room, and is an error for every other record.
func (s *Server) overflow(r *record) error {
	if r.result != refused {
		return &Error{Op: "audit", Kind: NotAccepted, Err: errors.Newf("the audit trail of %s is full", r.day())}
	}
	s.audit.mutex.Lock()
	defer s.audit.mutex.Unlock()
	s.audit.dropped++
	return nil
}

// createAt stores the record under the name unless another record has it, which is a Conflict.
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

// conflictObject returns the current object that a conflict reports.
func conflictObject(err error) Object {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Stored
	}
	return Object{}
}

// firstFree returns the first number of the day from low on that has no record. All numbers below low must have one.
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

// flush stores the records that wait in memory, oldest first.
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

// prune deletes one chunk of records that are older than the retention. It starts with the newest record of a day, so that
// the numbers of a day stay without gaps.
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

// search returns up to limit records of the day that match, newest first, among the newest maxSearchedRecords ones.
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
				continue // an unreadable record must not hide the others
			}
			if found = append(found, decoded); len(found) == limit {
				return found, nil
			}
		}
	}
	return found, nil
}

// recent returns the records of yesterday and today that match, newest first: those that wait in memory, then the stored
// ones.
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

// Decision is a change, or a change that was not made, that the system decided by itself.
type Decision struct {
	Writer  string // the part of the system that decided
	Call    string // name of the decision in kebab case
	Object  string // name of the object that it concerns
	After   string // what is to be in force
	Refused bool   // the change was not made
	Problem string // why not
}

// RecordDecision adds a decision of the system to the audit trail. A record that the store does not take is kept in
// memory and written later.
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
