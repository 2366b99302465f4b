// Package faulter sets the fault switches of the simulators.
//
// Usage:
//
//	err := faulter.SetPlatform(ctx, "http://127.0.0.1:8500", faulter.Platform{Down: true})
//	err = faulter.SetUpstream(ctx, "127.0.0.1:9000", faulter.Upstream{FreezeMS: 5000})
package injector

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Platform holds the switches of platformsim. A call replaces all of them.
type Platform struct {
	Down          bool
	DropResponses bool
	StaleReads    bool
}

// Upstream holds the switches of upstreamsim. A call replaces all of them; FreezeMS acts once.
type Upstream struct {
	FreezeMS int64
	// ResponseDelayMS delays answers, Cross exchanges them, and Truncate cuts them off.
	ResponseDelayMS   int64
	SwapResponses     bool
	TruncateResponses bool
	// SlowFactor multiplies the running time of requests, and SlowMS adds to it. CrashOn is the mark whose requests crash it.
	SlowFactor float64
	SlowMS     int64
	CrashMark  string
}

type wirePlatform struct {
	Down        bool `json:"down"`
	LoseAnswers bool `json:"lose-answers"`
	StaleReads  bool `json:"stale-reads"`
}

type wireUpstream struct {
	FreezeMS   int64   `json:"freeze-ms"`
	LateMS     int64   `json:"late-ms"`
	Cross      bool    `json:"cross"`
	Truncate   bool    `json:"truncate"`
	SlowFactor float64 `json:"slow-factor"`
	SlowMS     int64   `json:"slow-ms"`
	CrashOn    string  `json:"crash-on"`
}

// SetPlatform sets the switches of the platform at the base URL.
func SetPlatform(ctx context.Context, base string, faults Platform) error {
	return put(ctx, base+"/v1/faults", wirePlatform(faults))
}

// SetUpstream sets the switches of the upstream at the address.
func SetUpstream(ctx context.Context, address string, faults Upstream) error {
	return put(ctx, "http://"+address+"/-/faults", wireUpstream(faults))
}

func put(ctx context.Context, url string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "faulter: encode")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(content))
	if err != nil {
		return errors.Wrap(err, "faulter: request")
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "faulter")
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Newf("faulter: %s: %s", url, answer.Status)
	}
	return nil
}
