package dialer_test

import (
	"context"
	"encoding/pem"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/rhubarbctl/internal/dialer"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
	"rhubarbtrack.example/schema/gen/rhubarbtrack/v1/rhubarbtrackv1connect"
)

// serveText responds to each request with text.
func serveText(t *testing.T, text string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go simulator.Respond(listener, func(*http.Request) string { return text })
	return "http://" + listener.Addr().String()
}

func getStatus(s dialer.Settings) error {
	client, err := s.Client("")
	if err != nil {
		return err
	}
	_, err = client.GetStatus(context.Background(), connect.NewRequest(&rhubarbtrackv1.GetStatusRequest{}))
	return err
}

const soundStatus = "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: 0\r\n\r\n"

// Guards against a call that succeeds, or that is rejected, because of an invalid head.
func TestMalformedHeadsAreErrors(t *testing.T) {
	for _, sent := range []string{
		soundStatus, "HTTP/1.1 404 Not Found\r\nServer: s\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, form := range simulator.Malformed(sent) {
			t.Run(sent[9:12]+", "+form.Name, func(t *testing.T) {
				err := getStatus(dialer.Settings{Address: serveText(t, form.Text), Timeout: 2 * time.Second})
				assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable, "%v", err)
			})
		}
	}
}

// Guards against a sound response that is rejected because of a rare form of its head.
func TestUnusualHeadsAreAccepted(t *testing.T) {
	for _, form := range simulator.Unusual(soundStatus) {
		t.Run(form.Name, func(t *testing.T) {
			assert.NilError(t, getStatus(dialer.Settings{Address: serveText(t, form.Text), Timeout: 2 * time.Second}))
		})
	}
}

// Guards against a daemon with TLS that cannot be called, and against one that is not verified.
func TestTLS(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(rhubarbtrackv1connect.NewOperatorServiceHandler(rhubarbtrackv1connect.UnimplementedOperatorServiceHandler{}))
	server := httptest.NewUnstartedServer(mux)
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	settings := dialer.Settings{Address: server.URL, Timeout: 5 * time.Second}
	assert.ErrorContains(t, getStatus(settings), "certificate")
	settings.CAFile = filepath.Join(t.TempDir(), "ca.pem")
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	assert.NilError(t, os.WriteFile(settings.CAFile, certificate, 0o600))
	err := getStatus(settings)
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnimplemented, "%v", err)
}
