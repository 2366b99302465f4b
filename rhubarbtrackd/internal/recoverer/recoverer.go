// Package recoverer contains panics, so that an error in the handling of one request, message or connection does not
// end the process.
//
// Each panic is logged with its stack and counted. The caller of Do decides what has to be reset afterwards.
//
// # Usage
//
//	r := recoverer.New(log, meter)
//	if !r.Do("handle-report", func() { handle(report) }) {
//		reset()
//	}
package recoverer

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"go.uber.org/zap"

	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/meter"
)

// maxStackText bounds the logged stack in bytes.
const maxStackText = 4 << 10

// Recoverer is safe for concurrent use. A nil Recoverer contains panics without a log line, for tests.
type Recoverer struct {
	log   *eventlog.Logger
	meter *meter.Meter
}

// New returns a Recoverer that logs to log and counts with m.
func New(log *eventlog.Logger, m *meter.Meter) *Recoverer { return &Recoverer{log: log, meter: m} }

// Do calls f and reports whether f returned without a panic. task names the work in the log and in the metric.
func (r *Recoverer) Do(task string, f func()) (ok bool) {
	defer func() {
		if value := recover(); value != nil {
			r.record(task, value)
		}
	}()
	f()
	return true
}

func (r *Recoverer) record(task string, value any) {
	if r == nil {
		return
	}
	stack := string(debug.Stack())
	r.meter.Panicked(task)
	r.log.Log(eventlog.PanicRecovered, zap.String("task", task), zap.String("value", eventlog.Shorten(fmt.Sprint(value))),
		zap.String("stack", stack[:min(len(stack), maxStackText)]))
}

// Handler returns a handler that contains the panics of next. The connection of a request that panics is closed.
func (r *Recoverer) Handler(task string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if !r.Do(task, func() { next.ServeHTTP(w, request) }) {
			panic(http.ErrAbortHandler) // closes the connection without a log line of net/http
		}
	})
}
