package messenger_test

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbtrackd/internal/messenger"
)

// silencer passes bytes between its listener and a target until silenced, then keeps the connections open.
func silencer(t *testing.T, target string) (address string, silence func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	silent := make(chan struct{})
	var open []net.Conn
	var mu sync.Mutex
	keep := func(connection net.Conn) {
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
	pass := func(to io.Writer, from io.Reader) {
		buffer := make([]byte, 4096)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				return
			}
			select {
			case <-silent:
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
			keep(in)
			keep(out)
			go pass(in, out)
			go pass(out, in)
		}
	}()
	return listener.Addr().String(), func() { close(silent) }
}

// Guards against a control connection to a host that vanished without closing it, on which messages are lost until TCP
// gives up.
func TestUnresponsivePeerIsDetected(t *testing.T) {
	a, b := newHost(t, "a", "s"), newHost(t, "b", "s")
	address, silence := silencer(t, b.address)
	a.Dial("b", address, messenger.Control)
	eventually(t, "connected", func() bool { return a.get(func() int { return a.up["b"] }) == 1 })
	silence()
	eventually(t, "both ends notice", func() bool {
		return a.get(func() int { return a.downs }) == 1 && b.get(func() int { return b.downs }) == 1
	})
}
