package starter_test

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

// answer is what a connection attempt through a partition receives.
type answer int

const (
	refused answer = iota + 1
	reset
	silent
)

// partition is a listener that can be cut off from all hosts, while the process behind it goes on.
type partition struct {
	address  string
	mutex    sync.Mutex
	listener net.Listener // nil while connections are refused
	conns    []net.Conn
	answer   answer        // of a cut in progress, or 0
	changed  chan struct{} // closed when the cut begins or ends
	closed   bool
	onBytes  atomic.Pointer[func(conn net.Conn, isReceived bool, data []byte)] // called for what passes
}

func newPartition(listener net.Listener) *partition {
	return &partition{address: listener.Addr().String(), listener: listener, changed: make(chan struct{})}
}

// cut ends all connections, and gives new ones the answer until heal is called.
func (p *partition) cut(t *testing.T, a answer) {
	t.Helper()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.answer = a
	if a == refused {
		assert.NilError(t, p.listener.Close())
		p.listener = nil
	}
	if a != silent {
		p.abortAll()
	}
	p.notify()
}

// abortAll closes all connections with a reset.
func (p *partition) abortAll() {
	for _, conn := range p.conns {
		abort(conn)
	}
	p.conns = nil
}

func (p *partition) heal(t *testing.T) {
	t.Helper()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.listener == nil {
		listener, err := net.Listen("tcp", p.address)
		assert.NilError(t, err)
		p.listener = listener
	}
	if p.answer == silent {
		// What arrived during the cut was lost.
		p.abortAll()
	}
	p.answer = 0
	p.notify()
}

func (p *partition) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// partitionedConn is a connection through a partition. What is sent through it during a silent cut is lost.
type partitionedConn struct {
	net.Conn
	partition *partition
}

func (c *partitionedConn) isSilent() bool {
	c.partition.mutex.Lock()
	defer c.partition.mutex.Unlock()
	return c.partition.answer == silent
}

// Read implements net.Conn.
func (c *partitionedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isSilent() {
			c.record(true, p[:n])
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *partitionedConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	c.record(false, p)
	return c.Conn.Write(p)
}

func (c *partitionedConn) record(isReceived bool, data []byte) {
	if f := c.partition.onBytes.Load(); f != nil {
		(*f)(c.Conn, isReceived, data)
	}
}

// abort closes a connection with a reset.
func abort(conn net.Conn) {
	_ = unwrap(conn).SetLinger(0)
	_ = conn.Close()
}

// unwrap returns the connection behind a partition.
func unwrap(conn net.Conn) *net.TCPConn {
	if through, ok := conn.(*partitionedConn); ok {
		conn = through.Conn
	}
	return conn.(*net.TCPConn)
}

// Accept implements net.Listener.
func (p *partition) Accept() (net.Conn, error) {
	for {
		p.mutex.Lock()
		listener, changed, closed := p.listener, p.changed, p.closed
		p.mutex.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		if listener == nil {
			<-changed
			continue
		}
		conn, err := listener.Accept()
		if err != nil {
			continue
		}
		p.mutex.Lock()
		current := p.answer
		if current == 0 || current == silent {
			p.conns = append(p.conns, conn)
		}
		p.mutex.Unlock()
		switch current {
		case 0:
			return &partitionedConn{conn, p}, nil
		case silent: // nobody reads it
		default:
			abort(conn)
		}
	}
}

// Close implements net.Listener.
func (p *partition) Close() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
	}
	if !p.closed {
		p.closed = true
		p.notify()
	}
	return nil
}

// Addr implements net.Listener.
func (p *partition) Addr() net.Addr { return nil }

// checkedKeys are those whose owners the tests of partitions check.
func checkedKeys() []int {
	var keys []int
	for key := 0; key < 1<<16; key += 251 {
		keys = append(keys, key)
	}
	return keys
}

// started returns all upstreams that were started, also those whose process has ended.
func (s *system) started() []*simulator.Upstream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.processes)
}

// checkOwners fails when two running upstreams hold the same key. It runs until stop is set.
func (s *system) checkOwners(t *testing.T, stop *atomic.Bool) {
	for !stop.Load() {
		for _, key := range checkedKeys() {
			if ids := simulator.Holders(s.started(), key); len(ids) > 1 {
				t.Errorf("key %d is held by %v", key, ids)
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func isController(h *testHost) bool { return h.logged(eventlog.LeadershipGained) > 0 }

// stopFollower stops a host that is not the controller.
func (s *system) stopFollower() {
	i := slices.IndexFunc(s.hosts, func(h *testHost) bool { return !isController(h) })
	s.hosts[i].stop()
	s.hosts = slices.Delete(slices.Clone(s.hosts), i, i+1)
}

// stopController stops the host that is the controller, and waits for the next one.
func (s *system) stopController(t *testing.T) {
	t.Helper()
	i := slices.IndexFunc(s.hosts, isController)
	s.hosts[i].stop()
	s.hosts = slices.Delete(slices.Clone(s.hosts), i, i+1)
	for deadline := time.Now().Add(readyWithin); !slices.ContainsFunc(s.hosts, isController); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "no other host became the controller")
	}
}

// unownedTime is how long keys may be without an owner after the loss of one: the interval of renewals, the time of a call,
// the lifetime of a grant by a clock that is slow by 2%, and the time of a move.
const unownedTime = 750*time.Millisecond + 350*time.Millisecond + 3060*time.Millisecond + moveTime

// moveTime is how long a key may be without an owner in a planned move: the owner ends the requests that it runs, and the grant follows.
const moveTime = 500 * time.Millisecond

// Guards against two owners of a key: all hosts in contact with the controller are refused by an upstream that runs and holds
// its keys, because a partition of the network separates them. Its keys were granted to others at once.
func TestUpstreamBehindAPartitionKeepsItsKeys(t *testing.T) {
	tests := []struct {
		name   string
		answer answer
		before func(t *testing.T, s *system)
		// within is how long the keys may be without a new owner.
		within time.Duration
	}{
		{"refused", refused, nil, unownedTime},
		{"reset", reset, nil, unownedTime},
		{"silent", silent, nil, unownedTime},
		{"refused, after the loss of a host", refused, func(_ *testing.T, s *system) { s.stopFollower() }, unownedTime},
		{"refused, after the loss of the controller", refused, func(t *testing.T, s *system) { s.stopController(t) }, 12 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSystemWith(t, 6, 0, func(o *simulator.UpstreamOptions) { o.LateGrantShare = 0 })
			for i := range 2 {
				s.startHost(t, hostCount+i)
				waitReady(t, s.hosts[hostCount+i])
			}
			time.Sleep(time.Second) // until all hosts follow the controller
			if tt.before != nil {
				tt.before(t, s)
			}
			var stop atomic.Bool
			var group sync.WaitGroup
			group.Go(func() { load(s.hosts, &stop) })
			group.Go(func() { s.checkOwners(t, &stop) })
			time.Sleep(500 * time.Millisecond)
			s.partitions[0].cut(t, tt.answer)
			time.Sleep(tt.within)
			unowned := 0
			for _, key := range checkedKeys() {
				if ids := simulator.Holders(s.upstreams, key); len(ids) == 0 || ids[0] == "u0" {
					unowned++
				}
			}
			assert.Equal(t, unowned, 0, "keys without an owner that can be reached")
			s.partitions[0].heal(t)
			time.Sleep(2 * time.Second)
			stop.Store(true)
			group.Wait()
		})
	}
}
