// Command unframed orders documents of 128 KiB over kept connections while some backends send a few of their answers without
// a length, and checks that the hosts pass on each answer to its end.
//
// # Usage
//
//	unframed ROOT FOLDER
//
// With TROUBLE=0 in the environment, all answers have a length.
package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"rhubarbtrack.example/review/lab"
)

const (
	upstreams   = 8
	garbling    = 4  // share of the backends: 0.5
	garbleEvery = 50 // share of their answers: 0.02
	hosts       = 3
	callers     = 6
	orders      = 400 // of each caller
	// answerBytes is the length of each answer: 128 KiB.
	answerBytes = 128 << 10
	// closeTime is how long after the last byte a backend ends the connection of an answer without a length.
	closeTime  = 10 * time.Millisecond
	timeLeft   = 1500 * time.Millisecond
	readyLimit = 20 * time.Second
	// leadTime is how long after the hosts the traffic starts. A host that has started within stable_window_s (3 s) is not in touch.
	leadTime = 8 * time.Second
	// garbleTime is how long the backends send answers without a length.
	garbleTime = 5 * time.Second
	// maxCut is how often a connection may be closed without an answer.
	maxCut = 3
)

func main() { os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")) }

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return lab.ExitFailed
}

// document returns the signature and the body of the answer to a request.
func document(attempt, target string) (string, []byte) {
	signature, text := lab.Sign(attempt, target)
	return signature, bytes.Repeat(append(text, '\n'), answerBytes/len(text))[:answerBytes]
}

// responder returns the function with which one backend answers. end is when it stops to garble.
func responder(l *lab.Lab, id string, garbles bool, end *atomic.Int64) func(net.Conn, *http.Request, []byte) (handled, keep bool) {
	var answers atomic.Int64
	return func(conn net.Conn, r *http.Request, _ []byte) (handled, keep bool) {
		attempt := r.Header.Get("Attempt-Id")
		signature, body := document(attempt, r.RequestURI)
		header := [][2]string{{"Attempt-Id", attempt}, {"Response-Signature", signature}}
		if n := answers.Add(1); !garbles || n%garbleEvery != 0 || time.Now().UnixNano() >= end.Load() {
			return true, lab.Reply(conn, http.StatusOK, header, body)
		}
		l.Printf("upstream %s: answers %s without a length, and ends the connection after the last byte", id, attempt)
		lab.ReplyUnframed(conn, http.StatusOK, header, body)
		time.Sleep(closeTime)
		return true, false
	}
}

type judge struct {
	*lab.Lab
	mutex   sync.Mutex
	whole   int
	refused int // not run
	cut     map[string]bool
	ids     atomic.Int64
}

// order sends one order on a kept connection and reads the answer. It returns false if the connection has ended.
func (j *judge) order(c *lab.Conn) bool {
	r := lab.Request{
		Method: http.MethodPost, Target: "/order/sheet", Host: lab.Hostname, Attempt: fmt.Sprintf("order-%d", j.ids.Add(1)), Key: -1, Left: timeLeft,
	}
	if _, err := c.Write(r.Bytes()); err != nil {
		return false
	}
	a := c.Receive(r.Method, r.Left+time.Second)
	_, want := document(r.Attempt, r.Target)
	j.mutex.Lock()
	defer j.mutex.Unlock()
	switch {
	case a.Err != nil:
		j.cut[r.Attempt] = true
		j.Printf("caller: for %s gets %v", r.Attempt, a)
	case a.Status == http.StatusOK && bytes.Equal(a.Body, want):
		j.whole++
	default:
		j.refused++
		j.Printf("caller: for %s gets %v", r.Attempt, a)
	}
	return a.Err == nil && !a.Close
}

// call sends the orders of one caller to one host.
func (j *judge) call(address string) {
	var c *lab.Conn
	for range orders {
		if c == nil {
			dialed, err := lab.Dial(address)
			if err != nil {
				j.Printf("caller: cannot connect: %v", err)
				continue
			}
			c = dialed
		}
		if !j.order(c) {
			_ = c.Close()
			c = nil
		}
	}
	if c != nil {
		_ = c.Close()
	}
}

func run(root, folder string, trouble bool) int {
	l, err := lab.New(root, folder)
	if err != nil {
		return fail(err)
	}
	defer l.Close()
	err = l.StartStore(lab.Configuration(7, []lab.ServiceOptions{{Name: "wuno96b"}}, []lab.RouteOptions{
		{Name: "r-order", Prefix: "/order/", Service: "wuno96b", TimeoutSeconds: 1.5},
	}))
	if err != nil {
		return fail(err)
	}
	var ups []*lab.Upstream
	var garbleEnd atomic.Int64 // in Unix nanoseconds
	for i := range upstreams {
		id := fmt.Sprintf("i-%d", i+1)
		u, err := l.StartUpstream(lab.UpstreamOptions{
			ID: id, Service: "wuno96b", Zone: "zone-a", Respond: responder(l, id, trouble && i < garbling, &garbleEnd), Quiet: true,
			Work: func(*http.Request) time.Duration { return 5 * time.Millisecond },
		})
		if err != nil {
			return fail(err)
		}
		ups = append(ups, u)
	}
	var entries []*lab.Host
	for i := range hosts {
		h, err := l.StartHost(fmt.Sprintf("host-%d", i+1), "zone-a")
		if err != nil {
			return fail(err)
		}
		entries = append(entries, h)
	}
	for _, h := range entries {
		if err := h.AwaitReady(readyLimit); err != nil {
			return fail(err)
		}
	}
	time.Sleep(leadTime)
	l.Printf("traffic starts")
	garbleEnd.Store(time.Now().Add(garbleTime).UnixNano())
	j := &judge{Lab: l, cut: map[string]bool{}}
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { j.call(entries[i%hosts].Callers) })
	}
	group.Wait()
	lost := 0
	for _, u := range ups {
		for _, run := range u.Runs() {
			if j.cut[run.Attempt] {
				lost++
				l.Printf("LOST: %s was run by %s; the host has closed the connection within the answer", run.Attempt, run.Upstream)
			}
		}
	}
	verdict := fmt.Sprintf("%d orders answered in full, %d with another status, %d run and cut; %d may be", j.whole, j.refused, lost, maxCut)
	l.Printf("verdict: %s", verdict)
	fmt.Println(verdict)
	if lost > maxCut {
		return lab.ExitBroken
	}
	return lab.ExitHeld
}
