package messenger_test

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbtrackd/internal/messenger"
)

// startProxy starts a TCP proxy to target. After stop it forwards no more bytes but keeps the connections open.
func startProxy(t *testing.T, target string) (address string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	stopped := make(chan struct{})
	var open []net.Conn
	var mu sync.Mutex
	track := func(connection net.Conn) {
		mu.Lock()
		defer mu.Unlock()
		open = append(open, connection)
	}
	t.Cleanup(func() {
		_ = listener.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, connection := range open {
			_ = connection.Close()
		}
	})
	forward := func(to io.Writer, from io.Reader) {
		buffer := make([]byte, 4096)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				return
			}
			select {
			case <-stopped:
				return
			default:
				_, _ = to.Write(buffer[:n])
			}
		}
	}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			track(in)
			track(out)
			go forward(in, out)
			go forward(out, in)
		}
	}()
	return listener.Addr().String(), func() { close(stopped) }
}

// Guards against a control connection to a host that disappeared without closing it, on which all messages are lost
// until TCP times out.
func TestUnresponsivePeerIsDetected(t *testing.T) {
	a, b := newHost(t, "a", "s"), newHost(t, "b", "s")
	address, stopForwarding := startProxy(t, b.address)
	a.Dial("b", address, messenger.Control)
	eventually(t, "connected", func() bool { return a.get(func() int { return a.connected["b"] }) == 1 })
	stopForwarding()
	eventually(t, "both ends are disconnected", func() bool {
		return a.get(func() int { return a.disconnects }) == 1 && b.get(func() int { return b.disconnects }) == 1
	})
}
