package exchanger_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/rhubarbtrackd/internal/exchanger"
)

func TestProbeOpen(t *testing.T) {
	for _, tt := range []struct {
		name   string
		accept func(conn net.Conn) // nil: nothing listens
		open   bool
	}{
		{"an upstream that waits for a request", func(net.Conn) {}, true},
		{"a proxy whose upstream is down", func(conn net.Conn) { _ = conn.Close() }, false},
		{"an upstream that resets the connection", func(conn net.Conn) {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}, false},
		{"no process", nil, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			if tt.accept == nil {
				_ = listener.Close()
			}
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				tt.accept(conn)
				time.Sleep(time.Second)
			}()
			pool := exchanger.New(exchanger.Options{})
			err = pool.ProbeOpen(exchanger.Target{Incarnation: identifier.Incarnation{ID: "u"}, Address: listener.Addr().String()}, 100*time.Millisecond)
			assert.Equal(t, err == nil, tt.open)
		})
	}
}
