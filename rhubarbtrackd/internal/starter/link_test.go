package starter_test

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is a network link with a rate that all its connections share.
type link struct {
	rate  atomic.Int64 // bytes per second; 0: unlimited
	mutex sync.Mutex
	free  time.Time // when the bytes that were written so far have passed
}

// pass waits until a number of bytes has passed.
func (l *link) pass(bytes int) {
	rate := l.rate.Load()
	if rate == 0 {
		return
	}
	l.mutex.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / float64(rate) * float64(time.Second)))
	end := l.free
	l.mutex.Unlock()
	time.Sleep(time.Until(end))
}

// linkListener accepts connections whose writes pass a link.
type linkListener struct {
	net.Listener
	link *link
}

// Accept implements net.Listener.
func (l *linkListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &linkedConn{conn, l.link}, nil
}

type linkedConn struct {
	net.Conn
	link *link
}

// Write implements net.Conn.
func (c *linkedConn) Write(p []byte) (int, error) {
	const block = 8 << 10
	written := 0
	for written < len(p) {
		next := p[written:min(len(p), written+block)]
		c.link.pass(len(next))
		n, err := c.Conn.Write(next)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
