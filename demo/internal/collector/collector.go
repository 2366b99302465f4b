// Package collector reads the executions that the upstreams recorded and the results of the load generator.
//
// Usage:
//
//	executions, err := collector.Runs(ctx, "127.0.0.1:9000")
//	executions, err = collector.RunsFile("upstream.runs")
//	result, err := collector.LoadResult("load.json")
package collector

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"sort"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/demo/internal/checker"
)

type wireExecution struct {
	Index     int    `json:"index"`
	RequestID string `json:"request-id"`
	Key       string `json:"key"`
	Fenced    bool   `json:"fenced"`
	Slice     uint64 `json:"slice"`
	Term      uint64 `json:"term"`
	Epoch     uint64 `json:"epoch"`
	StartNS   int64  `json:"start-ns"`
	EndNS     int64  `json:"end-ns"`
}

type wireRuns struct {
	Runs []struct {
		Executions []wireExecution `json:"executions"`
	} `json:"runs"`
	PeakInFlight     int `json:"peak-in-flight"`
	PeakOverCapacity int `json:"peak-over-capacity"`
}

// Peaks are the highest numbers of requests of an upstream: in flight, and in excess of its current capacity.
type Peaks struct {
	InFlight     int
	OverCapacity int
}

type wireResult struct {
	Offered    int `json:"offered"`
	Answered   int `json:"answered"`
	NotRun     int `json:"not-run"`
	Unknown    int `json:"unknown"`
	Mismatched int `json:"mismatched"`
	Overflow   int `json:"overflow"`
	Resends    int `json:"resends"`
	Latency    struct {
		P50  float64 `json:"p50"`
		P99  float64 `json:"p99"`
		P999 float64 `json:"p99-9"`
		Max  float64 `json:"max"`
	} `json:"latency-ms"`
	Outages []struct {
		Key       string  `json:"key"`
		LongestMS float64 `json:"longest-ms"`
		Open      bool    `json:"open"`
	} `json:"outages"`
	NeverRepeat []struct {
		RequestID string `json:"request-id"`
		Outcome   string `json:"outcome"`
	} `json:"never-repeat"`
	Reasons map[string]int `json:"reasons"`
}

// Result is the measurement of the load generator for one service.
type Result struct {
	Offered    int
	Answered   int
	NotRun     int
	Unknown    int
	Mismatched int
	Overflow   int
	// Resends are attempts after a rejection or after a connection that could not be established.
	Resends int
	P50MS   float64
	P99MS   float64
	P999MS  float64
	MaxMS   float64
	// OutageMS is the longest time for which a key was not served, and OutageKey is that key. OutageOpen reports that
	// the key was still not served at the end of the load.
	OutageMS   float64
	OutageKey  string
	OutageOpen bool
	Requests   []checker.Request
	Reasons    map[string]int
}

// Runs requests the executions and the peaks of an upstream that is running.
func Runs(ctx context.Context, address string) ([]checker.Execution, Peaks, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/-/runs", nil)
	if err != nil {
		return nil, Peaks{}, errors.Wrap(err, "collector: create request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, Peaks{}, errors.Wrap(err, "collector: get runs")
	}
	defer func() { _ = response.Body.Close() }()
	var runs wireRuns
	if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
		return nil, Peaks{}, errors.Wrap(err, "collector: decode response with runs")
	}
	var executions []checker.Execution
	for _, run := range runs.Runs {
		for _, execution := range run.Executions {
			executions = append(executions, decodeExecution(execution))
		}
	}
	return executions, Peaks{InFlight: runs.PeakInFlight, OverCapacity: runs.PeakOverCapacity}, nil
}

// RunsFile reads the executions of an upstream that was killed. It ignores a last line that the kill truncated.
func RunsFile(path string) ([]checker.Execution, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "collector: read runs file")
	}
	return decodeRunsFile(content)
}

// LoadResult reads the result file of the load generator. It returns an error for an unknown outcome of a request.
func LoadResult(path string) (Result, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Result{}, errors.Wrap(err, "collector: read load result")
	}
	var result wireResult
	if err := json.Unmarshal(content, &result); err != nil {
		return Result{}, errors.Wrap(err, "collector: decode load result")
	}
	return decodeResult(result)
}

func decodeRunsFile(content []byte) ([]checker.Execution, error) {
	latest := map[int]wireExecution{}
	lines := json.NewDecoder(bytes.NewReader(content))
	for {
		var execution wireExecution
		err := lines.Decode(&execution)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return nil, errors.Wrap(err, "collector: decode runs file")
		}
		latest[execution.Index] = execution
	}
	executions := make([]checker.Execution, 0, len(latest))
	for _, execution := range latest {
		executions = append(executions, decodeExecution(execution))
	}
	sort.Slice(executions, func(i, j int) bool { return executions[i].Start < executions[j].Start })
	return executions, nil
}

func decodeExecution(execution wireExecution) checker.Execution {
	return checker.Execution{
		RequestID: execution.RequestID, Key: execution.Key, Fenced: execution.Fenced, Slice: execution.Slice,
		Term: execution.Term, Epoch: execution.Epoch, Start: execution.StartNS, End: execution.EndNS,
	}
}

func decodeResult(result wireResult) (Result, error) {
	decoded := Result{
		Offered: result.Offered, Answered: result.Answered, NotRun: result.NotRun, Unknown: result.Unknown,
		Mismatched: result.Mismatched, Overflow: result.Overflow, Resends: result.Resends,
		P50MS: result.Latency.P50, P99MS: result.Latency.P99, P999MS: result.Latency.P999, MaxMS: result.Latency.Max,
		Reasons: result.Reasons,
	}
	if len(result.Outages) > 0 {
		decoded.OutageMS = result.Outages[0].LongestMS
		decoded.OutageKey = result.Outages[0].Key
		decoded.OutageOpen = result.Outages[0].Open
	}
	for _, request := range result.NeverRepeat {
		outcome, err := decodeOutcome(request.Outcome)
		if err != nil {
			return Result{}, err
		}
		decoded.Requests = append(decoded.Requests, checker.Request{ID: request.RequestID, Outcome: outcome})
	}
	return decoded, nil
}

func decodeOutcome(name string) (checker.Outcome, error) {
	switch name {
	case "answered":
		return checker.Answered, nil
	case "not-run":
		return checker.NotRun, nil
	case "unknown":
		return checker.Unknown, nil
	default:
		return checker.Unknown, errors.Newf("collector: unknown outcome %q in load result", name)
	}
}
