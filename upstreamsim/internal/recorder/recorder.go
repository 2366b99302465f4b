// Package recorder records every execution of a request with its fence, start and end, so that the test harness can
// find requests that ran twice or without ownership.
//
// Usage:
//
//	log := recorder.New(file)
//	run, err := log.Begin(recorder.Execution{RequestID: "r1", Key: "k", StartNS: time.Now().UnixNano()})
//	err = log.End(run, time.Now().UnixNano(), true)
package recorder

import (
	"encoding/json"
	"io"
	"sync"
)

// Execution is one run of a request. Times are wall-clock nanoseconds, so that runs of several processes on one machine
// can be compared. EndNS is zero while the request runs, and stays zero when the process exits first.
type Execution struct {
	// RequestID is the ID that the caller gave to the request, RouterID the ID that the router gave to it.
	RequestID string
	RouterID  string
	Key       string
	Method    string
	// Fenced is true if the request carried a fence. Otherwise Slice, Term and Epoch are zero.
	Fenced    bool
	Slice     uint64
	Term      uint64
	Epoch     uint64
	StartNS   int64
	EndNS     int64
	Completed bool
}

// wireExecution is an execution in the runs file and in the response of `GET /-/runs`.
type wireExecution struct {
	Index     int    `json:"index"`
	RequestID string `json:"request-id"`
	RouterID  string `json:"router-id"`
	Key       string `json:"key"`
	Method    string `json:"method"`
	Fenced    bool   `json:"fenced"`
	Slice     uint64 `json:"slice"`
	Term      uint64 `json:"term"`
	Epoch     uint64 `json:"epoch"`
	StartNS   int64  `json:"start-ns"`
	EndNS     int64  `json:"end-ns"`
	Completed bool   `json:"completed"`
}

type wireRun struct {
	RequestID  string          `json:"request-id"`
	Key        string          `json:"key"`
	Count      int             `json:"count"`
	Executions []wireExecution `json:"executions"`
}

// Recorder is safe for concurrent use. It keeps every execution in memory until the process exits.
type Recorder struct {
	mu         sync.Mutex
	executions []Execution
	file       *json.Encoder
}

// New returns an empty recorder. When file is not nil, each start and each end of an execution is also written to it as
// a line of JSON, so that the record survives when the process is killed.
func New(file io.Writer) *Recorder {
	r := &Recorder{}
	if file != nil {
		r.file = json.NewEncoder(file)
	}
	return r
}

// Begin records the start of an execution and returns its index for End. It returns the error of the write to the file.
func (r *Recorder) Begin(execution Execution) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions = append(r.executions, execution)
	index := len(r.executions) - 1
	return index, r.append(index)
}

// End records the end of the execution with the index. It returns the error of the write to the file.
func (r *Recorder) End(index int, endNS int64, completed bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions[index].EndNS = endNS
	r.executions[index].Completed = completed
	return r.append(index)
}

// MarshalJSON returns the executions grouped by request ID, in the order of the first execution of each request.
func (r *Recorder) MarshalJSON() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]wireRun, 0, len(r.executions))
	positions := map[string]int{}
	for index, execution := range r.executions {
		at, ok := positions[execution.RequestID]
		if !ok {
			at = len(runs)
			positions[execution.RequestID] = at
			runs = append(runs, wireRun{RequestID: execution.RequestID, Key: execution.Key})
		}
		runs[at].Count++
		runs[at].Executions = append(runs[at].Executions, encode(index, execution))
	}
	return json.Marshal(runs)
}

func (r *Recorder) append(index int) error {
	if r.file == nil {
		return nil
	}
	return r.file.Encode(encode(index, r.executions[index]))
}

func encode(index int, e Execution) wireExecution {
	return wireExecution{
		Index: index, RequestID: e.RequestID, RouterID: e.RouterID, Key: e.Key, Method: e.Method,
		Fenced: e.Fenced, Slice: e.Slice, Term: e.Term, Epoch: e.Epoch, StartNS: e.StartNS, EndNS: e.EndNS, Completed: e.Completed,
	}
}
