// Command emptied uploads long bodies with an idempotent request while one backend fails part of its requests, and checks that
// each backend runs what the caller has sent.
//
// # Usage
//
//	emptied ROOT FOLDER
//
// With TROUBLE=0 in the environment, no backend fails a request.
package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"rhubarbtrack.example/review/lab"
)

const (
	upstreams  = 8 // one of them fails requests: share 0.125, at most 0.14
	failShare  = 0.45
	hosts      = 3
	callers    = 10
	uploads    = 40 // of each caller, within greyTime
	greyTime   = 6500 * time.Millisecond
	bodyBytes  = 200_000
	workTime   = 20 * time.Millisecond
	thinkTime  = 60 * time.Millisecond
	timeLeft   = 1200 * time.Millisecond
	readyLimit = 20 * time.Second
)

func main() { os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")) }

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return lab.ExitFailed
}

type judge struct {
	*lab.Lab
	mutex  sync.Mutex
	sent   map[string]uint64 // digest of the body by Attempt-Id
	status map[string]int
}

func (j *judge) upload(address string, caller, n int) {
	id := fmt.Sprintf("upload-%d-%d", caller, n)
	body := bytes.Repeat([]byte(id+" line of a sheet\n"), bodyBytes/24)
	j.mutex.Lock()
	j.sent[id] = lab.Digest(body)
	j.mutex.Unlock()
	a := lab.Send(address, lab.Request{
		Method: http.MethodPut, Target: "/lohu930/sheet-" + id, Host: lab.Hostname, Attempt: id, Key: -1, Left: timeLeft, Body: body, Chunked: true,
	})
	j.Printf("caller: %s, PUT of %d bytes in chunks: %v", id, len(body), a)
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.status[id] = a.Status
}

func run(root, folder string, trouble bool) int {
	l, err := lab.New(root, folder)
	if err != nil {
		return fail(err)
	}
	defer l.Close()
	err = l.StartStore(lab.Configuration(7, []lab.ServiceOptions{{Name: "wuno96b"}}, []lab.RouteOptions{
		{Name: "r-upload", Prefix: "/lohu930/", Service: "wuno96b", Idempotent: true, TimeoutSeconds: 1.2},
	}))
	if err != nil {
		return fail(err)
	}
	var ups []*lab.Upstream
	for i := range upstreams {
		options := lab.UpstreamOptions{
			ID: fmt.Sprintf("i-%d", i+1), Service: "wuno96b", Zone: "zone-a", Work: func(*http.Request) time.Duration { return workTime },
		}
		if trouble && i == 0 {
			options.Respond = func(conn net.Conn, r *http.Request, _ []byte) (handled, keep bool) {
				if rand.Float64() >= failShare {
					return false, true
				}
				id := r.Header.Get("Attempt-Id")
				signature, _ := lab.Sign(id, r.RequestURI)
				l.Printf("upstream i-1: fails %s with 500", id)
				return true, lab.Reply(conn, http.StatusInternalServerError, [][2]string{{"Attempt-Id", id}, {"Response-Signature", signature}}, nil)
			}
		}
		u, err := l.StartUpstream(options)
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
	j := &judge{Lab: l, sent: map[string]uint64{}, status: map[string]int{}}
	end := time.Now().Add(greyTime)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			for n := 0; n < uploads && time.Now().Before(end); n++ {
				j.upload(entries[(i+n)%hosts].Callers, i, n)
				time.Sleep(thinkTime)
			}
		})
	}
	group.Wait()
	return j.verdict(ups)
}

func (j *judge) verdict(ups []*lab.Upstream) int {
	changed, confirmed := 0, 0
	for _, u := range ups {
		for _, r := range u.Runs() {
			if r.Digest == j.sent[r.Attempt] {
				continue
			}
			changed++
			if j.status[r.Attempt] == http.StatusOK {
				confirmed++
			}
			j.Printf("UNASKED: upstream %s has run %s %s %s with a body of %d bytes; its caller has status %d",
				u.Options.ID, r.Attempt, r.Method, r.Target, r.Body, j.status[r.Attempt])
		}
	}
	verdict := fmt.Sprintf("%d uploads, %d of them run with another body; for %d of these the caller has a 200", len(j.sent), changed, confirmed)
	j.Printf("verdict: %s", verdict)
	fmt.Println(verdict)
	if changed > 0 {
		return lab.ExitBroken
	}
	return lab.ExitHeld
}
