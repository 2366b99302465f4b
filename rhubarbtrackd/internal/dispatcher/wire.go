package dispatcher

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/slicer"
)

// FormatFence returns the header value "slice.term.epoch" of a fence, empty for the zero fence.
func FormatFence(fence slicer.Fence) string {
	if fence == (slicer.Fence{}) {
		return ""
	}
	return fmt.Sprintf("%d.%d.%d", fence.Slice, fence.Term, fence.Epoch)
}

// ParseFence parses a header value in the format of FormatFence. An empty value yields the zero fence.
func ParseFence(value string) (slicer.Fence, error) {
	if value == "" {
		return slicer.Fence{}, nil
	}
	parts := strings.Split(value, ".")
	if len(parts) != 3 {
		return slicer.Fence{}, errors.Newf("malformed %s", HeaderFence)
	}
	slice, sliceErr := strconv.ParseUint(parts[0], 10, 32)
	term, termErr := strconv.ParseUint(parts[1], 10, 64)
	epoch, epochErr := strconv.ParseUint(parts[2], 10, 64)
	if sliceErr != nil || termErr != nil || epochErr != nil {
		return slicer.Fence{}, errors.Newf("malformed %s", HeaderFence)
	}
	return slicer.Fence{Slice: uint32(slice), Term: term, Epoch: epoch}, nil
}

// singleUseBody hides the concrete type of a body from the transport. When a connection breaks, the transport retries a
// request without a body or with a body that it can rewind, and the upstream might run it twice.
type singleUseBody struct {
	reader io.Reader
}

func (b *singleUseBody) Read(p []byte) (int, error) { return b.reader.Read(p) }
func (b *singleUseBody) Close() error               { return nil }

// RoundTrip sends a request at most once. The error is an *Error of kind NotRun if no connection was made, so that the
// request certainly did not leave this host, and of kind Unknown if the request may have arrived.
func RoundTrip(transport http.RoundTripper, request *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	reader := io.Reader(http.NoBody)
	if request.Body != nil {
		reader = request.Body
	}
	request.Body = &singleUseBody{reader: reader}
	request.GetBody = nil
	response, err := transport.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	failure := &Error{Op: "dispatch", Kind: Unknown, Reason: ReasonConnection, Err: err}
	var netErr net.Error
	if errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &netErr) && netErr.Timeout()) {
		failure.Reason = ReasonDeadline
	}
	if !connected.Load() {
		failure.Kind = NotRun
		failure.Reason = ReasonUnreachable
	}
	return nil, failure
}
