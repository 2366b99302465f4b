package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/rhubarbtrackd/internal/dispatcher"
	"rhubarbtrack.example/rhubarbtrackd/internal/forwarder"
)

type dispatch = func(ctx context.Context, request *dispatcher.Request) (*dispatcher.Response, error)

// newHostPair returns the forwarder of an entry host and an admission host that it reaches over HTTP.
func newHostPair(t *testing.T, run dispatch) (*forwarder.Forwarder, framer.Member) {
	t.Helper()
	f := forwarder.New(forwarder.Options{
		Self: "host-1", Scheme: "http", Transport: &http.Transport{},
		Authorize:  func(header http.Header) { header.Set("Authorization", "Bearer secret of the hosts") },
		Authorized: func(r *http.Request) bool { return r.Header.Get("Authorization") == "Bearer secret of the hosts" },
		Dispatch:   run,
	})
	server := httptest.NewServer(f.Handler())
	t.Cleanup(server.Close)
	return f, framer.Member{Name: "host-2", Address: server.Listener.Addr().String()}
}

func newRequest(header http.Header) *dispatcher.Request {
	return &dispatcher.Request{
		ID: "1", Service: "marks", Upstream: "marks.u1", Method: "POST", URI: "/marks/x?y=%20", Header: header,
		Body: strings.NewReader("body"), ContentLength: 4,
	}
}

// truncatedBody returns an error after its content.
type truncatedBody struct{ io.Reader }

func (b truncatedBody) Close() error { return nil }

func newTruncatedBody(content string) io.ReadCloser {
	return truncatedBody{io.MultiReader(strings.NewReader(content), &failingReader{})}
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against outcomes that change between two hosts: a truncated response that looks complete, or an error whose
// outcome changes between unknown and not run.
func TestOutcomesAreForwarded(t *testing.T) {
	respond := func(body io.ReadCloser, length int64) dispatch {
		return func(context.Context, *dispatcher.Request) (*dispatcher.Response, error) {
			return &dispatcher.Response{Status: http.StatusTeapot, Header: http.Header{}, Body: body, Length: length}, nil
		}
	}
	reject := func(failure dispatcher.Error) dispatch {
		return func(context.Context, *dispatcher.Request) (*dispatcher.Response, error) { return nil, &failure }
	}
	tests := []struct {
		name      string
		run       dispatch
		kind      dispatcher.Kind // 0 for a response
		reason    string
		truncated bool
	}{
		{name: "complete", run: respond(io.NopCloser(strings.NewReader("answer")), 6)},
		{name: "complete, unknown length", run: respond(io.NopCloser(strings.NewReader("answer")), -1)},
		{name: "truncated", run: respond(newTruncatedBody("answer"), 60), truncated: true},
		{name: "truncated, unknown length", run: respond(newTruncatedBody("answer"), -1), truncated: true},
		{name: "not run", run: reject(dispatcher.Error{Kind: dispatcher.NotRun, Reason: "shed"}),
			kind: dispatcher.NotRun, reason: "shed"},
		{name: "unknown", run: reject(dispatcher.Error{Kind: dispatcher.Unknown, Reason: "connection"}),
			kind: dispatcher.Unknown, reason: "connection"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, host := newHostPair(t, test.run)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			response, err := f.Forward(ctx, host, newRequest(http.Header{}))
			if test.kind != 0 {
				assert.Equal(t, dispatcher.AsError(err).Kind, test.kind)
				assert.Equal(t, dispatcher.AsError(err).Reason, test.reason)
				return
			}
			if err != nil && test.truncated {
				return // the connection was aborted before the response header was sent
			}
			assert.NilError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if test.truncated {
				assert.Assert(t, err != nil, "truncated body ended without an error after %q", body)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(body), "answer")
			assert.Equal(t, response.Status, http.StatusTeapot)
		})
	}
}

// Guards against a dispatch that continues at the admission host after the caller has cancelled the request or its
// deadline has passed.
func TestCallerCancellationEndsDispatch(t *testing.T) {
	for _, name := range []string{"cancelled", "deadline"} {
		t.Run(name, func(t *testing.T) {
			started, ended := make(chan struct{}), make(chan struct{})
			f, host := newHostPair(t, func(ctx context.Context, request *dispatcher.Request) (*dispatcher.Response, error) {
				_, _ = io.Copy(io.Discard, request.Body)
				close(started)
				<-ctx.Done()
				close(ended)
				return nil, &dispatcher.Error{Kind: dispatcher.Unknown, Reason: dispatcher.ReasonDeadline}
			})
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			if name == "deadline" {
				cancel()
				ctx, cancel = context.WithTimeout(context.Background(), time.Second)
			}
			defer cancel()
			if name == "cancelled" {
				go func() {
					<-started
					cancel()
				}()
			}
			_, err := f.Forward(ctx, host, newRequest(http.Header{}))
			assert.Equal(t, dispatcher.AsError(err).Kind, dispatcher.Unknown)
			select {
			case <-ended:
			case <-time.After(time.Minute):
				t.Fatal("dispatch still running 1 min after the end of the request")
			}
		})
	}
}

// Guards against losing the caller's credentials and against sending the hosts' secret to an upstream. Both use the
// header Authorization.
func TestCallerCredentialsAreForwarded(t *testing.T) {
	var received http.Header
	f, host := newHostPair(t, func(_ context.Context, request *dispatcher.Request) (*dispatcher.Response, error) {
		received = request.Header
		return nil, &dispatcher.Error{Kind: dispatcher.NotRun, Reason: "test"}
	})
	for _, want := range [][]string{{"Basic caller"}, nil} {
		header := http.Header{}
		if want != nil {
			header["Authorization"] = want
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		_, err := f.Forward(ctx, host, newRequest(header))
		cancel()
		assert.Equal(t, dispatcher.AsError(err).Reason, "test")
		assert.DeepEqual(t, received["Authorization"], want)
		for name := range received {
			assert.Assert(t, !strings.HasPrefix(name, "Rhubarbtrack-"), "%s was sent to the upstream", name)
		}
	}
}
