package storer_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbtrackd/internal/storer"
)

type roundTrip func(*http.Request) (*http.Response, error)

func (r roundTrip) RoundTrip(request *http.Request) (*http.Response, error) { return r(request) }

// FuzzResponses guards against answers of the store that make the client panic, and against a watch that ends without an
// error.
func FuzzResponses(f *testing.F) {
	f.Add(200, `{"type":"put","name":"a","version":1,"value":"dg=="}`+"\n")
	f.Add(200, `{"revision":3,"objects":[{"name":"a","version":1,"value":"dg=="}],"hosts":[{"name":"h"}]}`)
	f.Add(412, `{"name":"a","version":1,"value":"dg=="}`)
	f.Fuzz(func(t *testing.T, status int, body string) {
		client := storer.New("http://127.0.0.1:1", roundTrip(func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}, nil
		}))
		ctx := context.Background()
		_, _ = client.Get(ctx, "a")
		_, _, _ = client.List(ctx, "a")
		_, _ = client.Hosts(ctx)
		_, err := client.Put(ctx, "a", nil, storer.IfAbsent())
		assert.Assert(t, err == nil || storer.KindOf(err) != 0)
		err = client.Watch(ctx, "a", 1, func(storer.Change) {})
		assert.Assert(t, storer.KindOf(err) != 0)
	})
}
