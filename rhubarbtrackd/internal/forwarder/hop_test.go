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

// hop returns an entry host's forwarder and the admission host behind a real connection.
func hop(t *testing.T, run dispatch) (*forwarder.Forwarder, framer.Member) {
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

func sample(header http.Header) *dispatcher.Request {
	return &dispatcher.Request{
		ID: "1", Service: "marks", Upstream: "marks.u1", Method: "POST", URI: "/marks/x?y=%20", Header: header,
		Body: strings.NewReader("body"), ContentLength: 4,
	}
}

// cutBody fails after its content.
type cutBody struct{ io.Reader }

func (b cutBody) Close() error { return nil }

func cut(content string) io.ReadCloser {
	return cutBody{io.MultiReader(strings.NewReader(content), &failing{})}
}

type failing struct{}

func (*failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against outcomes that change on the way between two hosts: a cut answer that looks whole, a refusal that turns
// from unknown to not run or back.
func TestOutcomesAreForwarded(t *testing.T) {
	whole := func(body io.ReadCloser, length int64) dispatch {
		return func(context.Context, *dispatcher.Request) (*dispatcher.Response, error) {
			return &dispatcher.Response{Status: http.StatusTeapot, Header: http.Header{}, Body: body, Length: length}, nil
		}
	}
	refuse := func(failure dispatcher.Error) dispatch {
		return func(context.Context, *dispatcher.Request) (*dispatcher.Response, error) { return nil, &failure }
	}
	tests := []struct {
		name   string
		run    dispatch
		kind   dispatcher.Kind // 0 for an answer
		reason string
		cut    bool
	}{
		{name: "whole", run: whole(io.NopCloser(strings.NewReader("answer")), 6)},
		{name: "whole of unknown length", run: whole(io.NopCloser(strings.NewReader("answer")), -1)},
		{name: "cut", run: whole(cut("answer"), 60), cut: true},
		{name: "cut of unknown length", run: whole(cut("answer"), -1), cut: true},
		{name: "not run", run: refuse(dispatcher.Error{Kind: dispatcher.NotRun, Reason: "shed"}),
			kind: dispatcher.NotRun, reason: "shed"},
		{name: "unknown", run: refuse(dispatcher.Error{Kind: dispatcher.Unknown, Reason: "connection"}),
			kind: dispatcher.Unknown, reason: "connection"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, host := hop(t, test.run)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			response, err := f.Forward(ctx, host, sample(http.Header{}))
			if test.kind != 0 {
				assert.Equal(t, dispatcher.AsError(err).Kind, test.kind)
				assert.Equal(t, dispatcher.AsError(err).Reason, test.reason)
				return
			}
			if err != nil && test.cut {
				return // the connection was aborted before the header of the answer was sent
			}
			assert.NilError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if test.cut {
				assert.Assert(t, err != nil, "a cut body ended cleanly after %q", body)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(body), "answer")
			assert.Equal(t, response.Status, http.StatusTeapot)
		})
	}
}

// Guards against work that goes on at the admission host after the caller left or the deadline passed.
func TestCallerCancellationEndsDispatch(t *testing.T) {
	for _, name := range []string{"cancelled", "deadline"} {
		t.Run(name, func(t *testing.T) {
			started, ended := make(chan struct{}), make(chan struct{})
			f, host := hop(t, func(ctx context.Context, request *dispatcher.Request) (*dispatcher.Response, error) {
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
			_, err := f.Forward(ctx, host, sample(http.Header{}))
			assert.Equal(t, dispatcher.AsError(err).Kind, dispatcher.Unknown)
			select {
			case <-ended:
			case <-time.After(time.Minute):
				t.Fatal("the dispatch did not end")
			}
		})
	}
}

// Guards against an upstream that does not see the caller's credentials, and against one that sees the secret of the
// hosts: both use the header Authorization.
func TestCallerCredentialsAreForwarded(t *testing.T) {
	var seen http.Header
	f, host := hop(t, func(_ context.Context, request *dispatcher.Request) (*dispatcher.Response, error) {
		seen = request.Header
		return nil, &dispatcher.Error{Kind: dispatcher.NotRun, Reason: "test"}
	})
	for _, want := range [][]string{{"Basic caller"}, nil} {
		header := http.Header{}
		if want != nil {
			header["Authorization"] = want
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		_, err := f.Forward(ctx, host, sample(header))
		cancel()
		assert.Equal(t, dispatcher.AsError(err).Reason, "test")
		assert.DeepEqual(t, seen["Authorization"], want)
		for name := range seen {
			assert.Assert(t, !strings.HasPrefix(name, "Rhubarbtrack-"), "%s reaches the upstream", name)
		}
	}
}
