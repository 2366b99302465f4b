// Package proxier is a loopback proxy whose connections can be delayed, reset, silenced or cut one way.
//
// # Usage
//
//	link, err := proxier.Listen("127.0.0.1:0", target)
//	link.Set(proxier.Silent)
package proxier

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Fault is what a link does with bytes.
type Fault int32

// Faults.
const (
	None Fault = iota
	// Delayed holds every piece back for delayTime.
	Delayed
	// Resetting resets open and new connections.
	Resetting
	// Blackholed keeps connections open and passes nothing.
	Blackholed
	// ForwardOnly passes bytes towards the target only.
	ForwardOnly
)

const (
	delayTime = 200 * time.Millisecond
	holdPoll  = 20 * time.Millisecond
	pieceSize = 16 << 10
)

// Link is a proxy in front of one address.
type Link struct {
	listener net.Listener
	target   atomic.Pointer[string]
	fault    atomic.Int32
	mutex    sync.Mutex
	conns    map[net.Conn]bool
}

// Listen starts a link. The target may be set later.
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

// Address returns where the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetTarget sends new connections to another address.
func (l *Link) SetTarget(address string) { l.target.Store(&address) }

// SetFault begins a fault, or ends it with None.
func (l *Link) SetFault(f Fault) {
	l.fault.Store(int32(f))
	if f == Resetting {
		l.reset()
	}
}

// Close ends the link and its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.reset()
}

func (l *Link) reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
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

func (l *Link) serve(near net.Conn) {
	l.add(near)
	defer l.remove(near)
	far, err := net.Dial("tcp", *l.target.Load())
	if err != nil || Fault(l.fault.Load()) == Resetting {
		// A refused connection can only be shown as a reset one.
		if tcp, ok := near.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return
	}
	l.add(far)
	defer l.remove(far)
	done := make(chan struct{}, 2)
	go func() { l.pump(far, near, true); done <- struct{}{} }()
	go func() { l.pump(near, far, false); done <- struct{}{} }()
	<-done
}

// pump copies one direction of a connection.
func (l *Link) pump(to io.Writer, from io.Reader, forward bool) {
	piece := make([]byte, pieceSize)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			l.hold(forward)
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			l.hold(forward)
			return
		}
	}
}

// hold waits while the fault does not let bytes pass.
func (l *Link) hold(forward bool) {
	if Fault(l.fault.Load()) == Delayed {
		time.Sleep(delayTime)
	}
	for {
		f := Fault(l.fault.Load())
		if f != Blackholed && (f != ForwardOnly || forward) {
			return
		}
		time.Sleep(holdPoll)
	}
}
