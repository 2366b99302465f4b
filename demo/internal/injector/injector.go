// Package injector injects faults into the simulators of the platform and of the upstreams, over their HTTP control
// interfaces. A call replaces all faults of a simulator: a fault that is left at its zero value is switched off.
//
// Usage:
//
//	err := injector.SetPlatform(ctx, "http://127.0.0.1:8500", injector.Platform{Down: true})
//	err = injector.SetUpstream(ctx, "127.0.0.1:9000", injector.Upstream{FreezeMS: 5000})
package injector

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Platform holds the faults of platformsim.
type Platform struct {
	// Down makes the platform close the connections of store calls and of requests for the host list. Control
	// calls still work.
	Down bool
	// DropResponses makes writes take effect and closes their connections without a response.
	DropResponses bool
	// StaleReads makes reads return the state at the time of the call, without later writes.
	StaleReads bool
}

// Upstream holds the faults of upstreamsim.
type Upstream struct {
	// FreezeMS freezes the process for this time. It acts once, at the call.
	FreezeMS int64
	// ResponseDelayMS delays responses, SwapResponses answers a request with the response to the previous one, and
	// TruncateResponses truncates responses.
	ResponseDelayMS   int64
	SwapResponses     bool
	TruncateResponses bool
	// SlowFactor multiplies the run time of requests unless it is 0, and SlowMS adds to it. A request whose Demo-Mark
	// header equals CrashMark crashes the process; an empty CrashMark crashes none.
	SlowFactor float64
	SlowMS     int64
	CrashMark  string
}

type wirePlatform struct {
	Down          bool `json:"down"`
	DropResponses bool `json:"lose-answers"`
	StaleReads    bool `json:"stale-reads"`
}

type wireUpstream struct {
	FreezeMS          int64   `json:"freeze-ms"`
	ResponseDelayMS   int64   `json:"late-ms"`
	SwapResponses     bool    `json:"cross"`
	TruncateResponses bool    `json:"truncate"`
	SlowFactor        float64 `json:"slow-factor"`
	SlowMS            int64   `json:"slow-ms"`
	CrashMark         string  `json:"crash-on"`
}

// SetPlatform replaces the faults of the platform at the base URL.
func SetPlatform(ctx context.Context, base string, faults Platform) error {
	return put(ctx, base+"/v1/faults", wirePlatform(faults))
}

// SetUpstream replaces the faults of the upstream at the address.
func SetUpstream(ctx context.Context, address string, faults Upstream) error {
	return put(ctx, "http://"+address+"/-/faults", wireUpstream(faults))
}

func put(ctx context.Context, url string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "injector: encode faults")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(content))
	if err != nil {
		return errors.Wrap(err, "injector: create request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "injector: send request")
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("injector: PUT %s: status %s", url, response.Status)
	}
	return nil
}
