package observer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	kindUpstream      = "RESOURCE_KIND_UPSTREAM"
	kindFailureDomain = "RESOURCE_KIND_FAILURE_DOMAIN"
)

// Outcome is what an operator was told about a change.
type Outcome int

// Outcomes of a change. Other is any error that is neither a conflict nor a lack of capacity.
const (
	Accepted Outcome = iota
	Conflict
	InsufficientCapacity
	Other
)

// Rollout says on how many hosts a change is in force.
type Rollout struct {
	Hosts        int
	HostsApplied int
}

type wireChange struct {
	Name            string `json:"name"`
	Drained         *bool  `json:"drained,omitempty"`
	ExpectedVersion string `json:"expectedVersion"`
	OperationID     string `json:"operationId"`
}

// UpstreamVersion returns the version of an upstream's object, as the daemon at the address knows it.
func UpstreamVersion(ctx context.Context, address, name string) (uint64, error) {
	return version(ctx, address, kindUpstream, name)
}

// FailureDomainVersion returns the version of a failure domain's object, as the daemon at the address knows it.
func FailureDomainVersion(ctx context.Context, address, name string) (uint64, error) {
	return version(ctx, address, kindFailureDomain, name)
}

// Drain drains an upstream or ends its drain.
func Drain(ctx context.Context, address, name string, drained bool, expected uint64, operation string) (Outcome, error) {
	return change(ctx, address, "DrainUpstream", wireChange{
		Name: name, Drained: &drained, ExpectedVersion: strconv.FormatUint(expected, 10), OperationID: operation,
	})
}

// TakeOut takes a failure domain out of service without force.
func TakeOut(ctx context.Context, address, name string, expected uint64, operation string) (Outcome, error) {
	return change(ctx, address, "TakeOutFailureDomain", wireChange{
		Name: name, ExpectedVersion: strconv.FormatUint(expected, 10), OperationID: operation,
	})
}

// Progress returns the progress of an accepted change.
func Progress(ctx context.Context, address, operation string) (Rollout, error) {
	var answer struct {
		Change struct {
			Rollout struct {
				Hosts        int `json:"hosts"`
				HostsInForce int `json:"hostsInForce"`
			} `json:"rollout"`
		} `json:"change"`
	}
	question := struct {
		OperationID string `json:"operationId"`
	}{OperationID: operation}
	err := call(ctx, address, "GetChange", question, &answer)
	return Rollout(answer.Change.Rollout), err
}

func version(ctx context.Context, address, kind, name string) (uint64, error) {
	question := struct {
		Kind string `json:"kind"`
		Name string `json:"name"`
	}{Kind: kind, Name: name}
	var answer struct {
		Resource struct {
			Version string `json:"version"`
		} `json:"resource"`
	}
	if err := call(ctx, address, "GetResource", question, &answer); err != nil {
		return 0, err
	}
	parsed, err := strconv.ParseUint(answer.Resource.Version, 10, 64)
	return parsed, errors.Wrap(err, "observer: version")
}

func change(ctx context.Context, address, procedure string, wire wireChange) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	content, err := json.Marshal(wire)
	if err != nil {
		return Other, errors.Wrap(err, "observer: encode")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+procedures+procedure, bytes.NewReader(content))
	if err != nil {
		return Other, errors.Wrap(err, "observer: request")
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return Other, errors.Wrap(err, "observer")
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return Other, errors.Wrap(err, "observer: read")
	}
	return outcomeOf(answer.StatusCode, body)
}

// outcomeOf reads the answer to a change. An answer that is none of the expected ones is returned as the error.
func outcomeOf(status int, body []byte) (Outcome, error) {
	if status == http.StatusOK {
		return Accepted, nil
	}
	var failure struct {
		Code string `json:"code"`
	}
	if err := json.Unmarshal(body, &failure); err != nil {
		return Other, errors.Wrap(err, "observer: decode error")
	}
	switch failure.Code {
	case "aborted":
		return Conflict, nil
	case "failed_precondition":
		return InsufficientCapacity, nil
	default:
		return Other, errors.Newf("observer: status %d: %s", status, strings.TrimSpace(string(body)))
	}
}
