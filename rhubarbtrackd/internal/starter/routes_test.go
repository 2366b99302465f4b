package starter_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/matcher"
	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/translator"
)

// sent is a request and the status of its response.
type sent struct {
	prefix, attempt string
	status          int
}

// sendAll sends requests with the given prefixes by turns at a rate for all hosts together, and waits for the responses.
func (s *system) sendAll(prefixes []string, perSecond int, during time.Duration) []sent {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 500}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	requests := make([]sent, int(during.Seconds()*float64(perSecond)))
	var group sync.WaitGroup
	for i := range requests {
		requests[i] = sent{prefix: prefixes[i%len(prefixes)], attempt: fmt.Sprintf("%016x", time.Now().UnixNano())}
		group.Go(func() {
			call := simulator.Call{Prefix: requests[i].prefix, Name: "x", Attempt: requests[i].attempt, Key: i * 7919 % (1 << 16), TimeLeft: 2 * time.Second}
			reply, err := call.Send(client, s.hosts[i%len(s.hosts)].settings.CallerAddress)
			if err == nil {
				requests[i].status = reply.Status
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	group.Wait()
	return requests
}

// slowPlainService makes the two upstreams of the service without keys run 120 requests a second together.
func (s *system) slowPlainService() {
	for _, u := range s.upstreams[4:] {
		u.SetWorkTime(100 * time.Millisecond)
	}
}

func servedShare(requests []sent, counts func(sent) bool) float64 {
	total, served := 0, 0
	for _, r := range requests {
		if !counts(r) {
			continue
		}
		total++
		if r.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(1, total))
}

// Guards against routes that are served less often than others because they were added later.
func TestAddedRoutesAreServedLikeTheFirst(t *testing.T) {
	t.Parallel()
	const (
		added     = 40
		perSecond = 400
	)
	s := newSystem(t)
	s.slowPlainService()
	addedAt := time.Now()
	last := s.addRoutes(t, 10, added)
	s.awaitRoute(t, last, addedAt)
	prefixes := []string{}
	for i := range added {
		prefixes = append(prefixes, simulator.PlainPrefix, fmt.Sprintf("/other-%d-%d/", i, i*7919))
	}
	requests := s.sendAll(prefixes, perSecond, 4*time.Second)
	first := servedShare(requests, func(r sent) bool { return r.prefix == simulator.PlainPrefix })
	later := servedShare(requests, func(r sent) bool { return r.prefix != simulator.PlainPrefix })
	t.Logf("served: %.3f on the first route, %.3f on those that were added", first, later)
	assert.Assert(t, first > 0.2 && first < 0.9, "served: %.3f on the first route: the service is not short of room", first)
	assert.Assert(t, later > first/4, "served: %.3f on the first route, %.3f on those that were added", first, later)
}

// Guards against requests that move to another part of a split because theirs is short of room.
func TestPartsOfASplitKeepTheirShares(t *testing.T) {
	t.Parallel()
	const (
		weight    = 70 // of the service without keys, of 100
		tolerance = 0.1
		prefix    = "/split/"
	)
	configuration := simulator.Configuration(10)
	host := configuration["virtual_hosts"].([]any)[0].(map[string]any)
	host["route_paths"] = append(host["route_paths"].([]any), map[string]any{
		"name": "split", "path_prefix": prefix, "kind": "idempotent", "timeout_s": 2, "target_latency_s": 0.5, "priority": 1, "max_attempts": 2,
		"traffic_split": []any{
			map[string]any{"service": simulator.PlainService, "weight": weight}, map[string]any{"service": simulator.KeyedService, "weight": 100 - weight},
		},
	})
	route := matcher.Route{Split: []matcher.Share{{Service: simulator.PlainService, Weight: weight}, {Service: simulator.KeyedService, Weight: 100 - weight}}}
	s := newSystem(t)
	assert.NilError(t, s.store.Put(translator.ConfigurationKind, translator.ConfigurationName, configuration, nil))
	time.Sleep(configurationDelay)
	for _, tt := range []struct {
		name      string
		perSecond int
		isShort   bool // the part without keys is short of room
	}{{"room for all", 200, false}, {"a part is short of room", 500, true}} {
		t.Run(tt.name, func(t *testing.T) {
			if tt.isShort {
				s.slowPlainService()
			}
			requests := s.sendAll([]string{prefix}, tt.perSecond, 3*time.Second)
			parts, ran := map[string]int{}, map[string]int{}
			s.mutex.Lock()
			defer s.mutex.Unlock()
			for _, r := range requests {
				part := route.Choose(r.attempt)
				parts[part]++
				if s.runs[r.attempt] == 0 {
					continue
				}
				ran[part]++
				isKeyed := s.headers[r.attempt].Get(translator.UpstreamHeader) < "u4" // u0 to u3 belong to the keyed service
				assert.Equal(t, isKeyed, part == simulator.KeyedService, "%s ran at the other part", r.attempt)
			}
			share := float64(parts[simulator.PlainService]) / float64(len(requests))
			assert.Assert(t, share > weight/100.0-tolerance && share < weight/100.0+tolerance, "share %.3f", share)
			served := servedShare(requests, func(r sent) bool { return route.Choose(r.attempt) == simulator.KeyedService })
			t.Logf("ran %v of %v, %.3f of the part with keys served", ran, parts, served)
			assert.Assert(t, served > 0.9, "%.3f of the part with room served", served)
			assert.Equal(t, ran[simulator.PlainService] < parts[simulator.PlainService]*8/10, tt.isShort, "%d of %d ran at the part without keys",
				ran[simulator.PlainService], parts[simulator.PlainService])
			if !tt.isShort {
				share := float64(ran[simulator.PlainService]) / float64(ran[simulator.PlainService]+ran[simulator.KeyedService])
				assert.Assert(t, share > weight/100.0-tolerance && share < weight/100.0+tolerance, "share %.3f", share)
			}
		})
	}
}
