// Package proxier is a TCP proxy on loopback that injects network faults: delays, resets, and the loss of all traffic
// in one or both directions.
//
// # Usage
//
//	link, err := proxier.Listen("127.0.0.1:0", target)
//	link.SetFault(proxier.Blackholed)
package proxier

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbtrack.example/core/delimiter"
)

// Fault is a network fault of a link.
type Fault int32

// Faults. They apply to open and new connections.
const (
	None Fault = iota
	// Delayed delays each chunk of at most 16 KiB by 200 ms.
	Delayed
	// Resetting closes connections with a TCP reset.
	Resetting
	// Blackholed keeps connections open and forwards no data. The data is forwarded when the fault ends.
	Blackholed
	// ForwardOnly forwards data from the client to the target, but not from the target to the client.
	ForwardOnly
)

const (
	chunkDelay          = 200 * time.Millisecond
	blockedPollInterval = 20 * time.Millisecond
	chunkSize           = 16 << 10
)

// Link is a proxy in front of one target address. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	target   atomic.Pointer[string]
	fault    atomic.Int32
	mutex    sync.Mutex
	conns    map[net.Conn]bool
}

// Listen starts a link. The target may be empty until SetTarget is called.
func Listen(address, target string) (*Link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, conns: map[net.Conn]bool{}}
	l.target.Store(&target)
	go l.accept()
	return l, nil
}

// Address returns the address on which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetTarget replaces the target of new connections. Open connections keep theirs.
func (l *Link) SetTarget(address string) { l.target.Store(&address) }

// SetFault replaces the current fault; None ends it. Resetting resets all open connections at once.
func (l *Link) SetFault(f Fault) {
	l.fault.Store(int32(f))
	if f == Resetting {
		l.reset()
	}
}

// Close stops the link and resets its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.reset()
}

func (l *Link) reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for conn := range l.conns {
		resetOnClose(conn)
		_ = conn.Close()
	}
	clear(l.conns)
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *Link) add(conn net.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.conns[conn] = true
}

func (l *Link) remove(conn net.Conn) {
	l.mutex.Lock()
	delete(l.conns, conn)
	l.mutex.Unlock()
	_ = conn.Close()
}

func (l *Link) serve(client net.Conn) {
	l.add(client)
	defer l.remove(client)
	server, err := net.Dial("tcp", *l.target.Load())
	if err != nil || Fault(l.fault.Load()) == Resetting {
		// The proxy has already accepted the connection of its client, so it resets the connection where a target would
		// refuse it.
		resetOnClose(client)
		return
	}
	l.add(server)
	defer l.remove(server)
	// The failure of a connection must not look like the end of its stream to the other side.
	toClient, toServer := delimiter.New(client), delimiter.New(server)
	done := make(chan error, 2)
	go func() { done <- l.pump(toServer, toClient, true) }()
	go func() { done <- l.pump(toClient, toServer, false) }()
	if err := <-done; err != nil {
		resetOnClose(client)
		resetOnClose(server)
	}
}

// resetOnClose makes the end of a connection a TCP reset.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has ended
	}
}

// pump copies one direction of a connection to the end of the stream, and applies the current fault to each chunk and to that end.
func (l *Link) pump(dst io.Writer, src io.Reader, forward bool) error {
	chunk := make([]byte, chunkSize)
	for {
		n, err := src.Read(chunk)
		if n > 0 {
			l.waitForFault(forward)
			if _, err := dst.Write(chunk[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			l.waitForFault(forward)
			if err == io.EOF {
				return nil
			}
			return err
		}
	}
}

// waitForFault delays the caller as the fault demands, and blocks while the fault stops this direction.
func (l *Link) waitForFault(forward bool) {
	if Fault(l.fault.Load()) == Delayed {
		time.Sleep(chunkDelay)
	}
	for {
		f := Fault(l.fault.Load())
		if f != Blackholed && (f != ForwardOnly || forward) {
			return
		}
		time.Sleep(blockedPollInterval)
	}
}
