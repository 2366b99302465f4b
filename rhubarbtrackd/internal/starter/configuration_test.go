package starter_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/platform/simulator"
	"rhubarbtrack.example/platform/translator"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

// configurationDelay is the time after which a configuration must be in force on every host, counted from its acknowledgement.
const configurationDelay = 2 * time.Second

// addRoute writes a version of the configuration with one more route, and returns the prefix of its path.
func (s *system) addRoute(t *testing.T, version int) string {
	t.Helper()
	return s.addRoutes(t, version, 0)
}

// addRoutes writes a version of the configuration with a route as addRoute does, and with a number of other routes.
func (s *system) addRoutes(t *testing.T, version, others int) string {
	t.Helper()
	prefix := fmt.Sprintf("/added-%d/", version)
	configuration := simulator.Configuration(version)
	host := configuration["virtual_hosts"].([]any)[0].(map[string]any)
	routes := host["route_paths"].([]any)
	for i := range others + 1 {
		route := map[string]any{
			"name": fmt.Sprintf("added-%d", i), "path_prefix": fmt.Sprintf("/other-%d-%d/", i, i*7919), "kind": "idempotent",
			"timeout_s": 2, "target_latency_s": 0.5, "priority": 1, "service": simulator.PlainService, "max_attempts": 2,
		}
		if i == others {
			route["path_prefix"] = prefix
		}
		routes = append(routes, route)
	}
	host["route_paths"] = routes
	assert.NilError(t, s.store.Put(translator.ConfigurationKind, translator.ConfigurationName, configuration, nil))
	return prefix
}

// status returns the status of a request on a connection of its own, or 0 without a response.
func (h *testHost) status(path string) int {
	status, _ := h.reply(path)
	return status
}

// reply returns the status of a request as status does, and the time after which the caller may retry.
func (h *testHost) reply(path string) (status int, retryAfter time.Duration) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	request, err := http.NewRequest(http.MethodGet, "http://"+h.settings.CallerAddress+path, nil)
	if err != nil {
		return 0, 0
	}
	request.Host = simulator.Hostname
	request.Header.Set(translator.AttemptHeader, fmt.Sprint(time.Now().UnixNano()))
	request.Header.Set(translator.TimeLeftHeader, h.timeLeft)
	request.Header.Set(translator.KeyHeader, "7")
	response, err := client.Do(request)
	if err != nil {
		return 0, 0
	}
	_ = response.Body.Close()
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}

// Guards against a time left that overflows and so seems to have passed.
func TestLongTimeLeftIsServed(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	for _, left := range []string{"86400001", "9223372036854775", "9223372036854775807"} {
		s.hosts[0].timeLeft = left
		assert.Equal(t, s.hosts[0].status(simulator.PlainPrefix+"x"), http.StatusOK, left)
	}
}

// awaitRoute waits until all hosts serve a route that was added at addedAt.
func (s *system) awaitRoute(t *testing.T, prefix string, addedAt time.Time) {
	t.Helper()
	for _, h := range s.hosts {
		for h.status(prefix+"x") != http.StatusOK {
			assert.Assert(t, time.Since(addedAt) < configurationDelay, "%s does not serve %s", h.settings.Host, prefix)
			time.Sleep(20 * time.Millisecond)
		}
	}
	t.Logf("in force after %v", time.Since(addedAt))
}

func (s *system) controller() *testHost {
	for _, h := range s.hosts {
		if h.logged(eventlog.LeadershipGained) > h.logged(eventlog.LeadershipLost) {
			return h
		}
	}
	return nil
}

// Guards against hosts that keep an old configuration because they or their controller cannot read it from the store.
func TestConfigurationIsInForceInTime(t *testing.T) {
	tests := []struct {
		name    string
		disturb func(s *system)
	}{
		{"no fault", func(*system) {}},
		{"the store rejects the calls of a host that follows the controller", func(s *system) {
			for _, h := range s.hosts {
				if h != s.controller() {
					h.storeUnavailable.Store(true)
					return
				}
			}
		}},
		{"the store rejects the calls of the controller", func(s *system) { s.controller().storeUnavailable.Store(true) }},
		{"watches of the controller get no response", func(s *system) { s.controller().watchesHang.Store(true) }},
		{"watches of all hosts get no response", func(s *system) {
			for _, h := range s.hosts {
				h.watchesHang.Store(true)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t)
			tt.disturb(s)
			for i := range 6 {
				// The phase of the watches in progress differs from version to version.
				time.Sleep(time.Duration(1700+270*i) * time.Millisecond)
				addedAt := time.Now()
				s.awaitRoute(t, s.addRoute(t, 10+i), addedAt)
			}
		})
	}
}

// Guards against a 404, after which callers do not try again, for a route that the host may not know yet.
func TestHostWithAnOldConfigurationDoesNotDenyRoutes(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	h := s.hosts[0]
	assert.Equal(t, h.status("/never/x"), http.StatusNotFound)
	for _, other := range s.hosts {
		other.storeUnavailable.Store(true)
	}
	time.Sleep(time.Second) // watches in progress still return changes
	prefix := s.addRoute(t, 10)
	for deadline := time.Now().Add(5 * time.Second); h.status(prefix+"x") != http.StatusServiceUnavailable; time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the host still responds with 404")
	}
	assert.Equal(t, h.status(simulator.PlainPrefix+"x"), http.StatusOK)
	for _, other := range s.hosts {
		other.storeUnavailable.Store(false)
	}
	s.awaitRoute(t, prefix, time.Now())
	for deadline := time.Now().Add(configurationDelay); h.status("/never/x") != http.StatusNotFound; time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the host does not respond with 404 again")
	}
}

// Guards against a configuration of half a megabyte that is not in force in time where its transfer takes a second.
func TestLargeConfigurationIsInForceInTimeOverSlowLinks(t *testing.T) {
	const (
		routes = 3000
		rate   = 550_000 // bytes per second: what callers leave of a link of 10 Mbit/s
	)
	isolateController := func(t *testing.T, s *system) {
		controller := s.controller()
		assert.Assert(t, controller != nil)
		controller.storeUnavailable.Store(true)
		controller.peers.cut(t, refused)
		s.hosts = slices.DeleteFunc(slices.Clone(s.hosts), func(h *testHost) bool { return h == controller })
	}
	tests := []struct {
		name    string
		isSlow  func(s *system, h *testHost) bool
		disturb func(t *testing.T, s *system)
	}{
		{"all hosts", func(*system, *testHost) bool { return true }, func(*testing.T, *system) {}},
		{"hosts that follow a controller", func(s *system, h *testHost) bool { return h != s.controller() }, func(*testing.T, *system) {}},
		{"hosts that have just lost their controller", func(*system, *testHost) bool { return true }, isolateController},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t)
			s.awaitRoute(t, s.addRoutes(t, 10, routes), time.Now())
			for _, h := range s.hosts {
				if tt.isSlow(s, h) {
					h.storeLink.rate.Store(rate)
				}
			}
			tt.disturb(t, s)
			for i := range 6 {
				// The phase of the calls in progress differs from version to version.
				time.Sleep(time.Duration(300+270*i) * time.Millisecond)
				addedAt := time.Now()
				s.awaitRoute(t, s.addRoutes(t, 11+i, routes), addedAt)
			}
		})
	}
}

// Guards against hosts that fall further behind with each version while versions come faster than they are transferred.
func TestHostsKeepUpWithVersionsThatAreFasterThanTheirLinks(t *testing.T) {
	t.Parallel()
	const (
		routes   = 3000
		rate     = 800_000 // bytes per second
		interval = 400 * time.Millisecond
	)
	s := newSystem(t)
	s.awaitRoute(t, s.addRoutes(t, 10, routes), time.Now())
	for _, h := range s.hosts {
		h.storeLink.rate.Store(rate)
		h.peers.cut(t, refused) // no host follows a controller
	}
	acknowledged := map[int64]time.Time{}
	for version, end := int64(11), time.Now().Add(8*time.Second); time.Now().Before(end); version++ {
		s.addRoutes(t, int(version), routes)
		acknowledged[version] = time.Now()
		time.Sleep(interval)
		for _, h := range s.hosts {
			applied := h.appliedVersion()
			for v, at := range acknowledged {
				assert.Assert(t, applied >= v || time.Since(at) < configurationDelay, "%s has version %d, and version %d was acknowledged %v before",
					h.settings.Host, applied, v, time.Since(at))
			}
		}
	}
}

// appliedVersion returns the version of the configuration that the host has logged last.
func (h *testHost) appliedVersion() int64 {
	lines := h.logs.FilterMessage(eventlog.ConfigurationChanged.Name).All()
	if len(lines) == 0 {
		return 0
	}
	return lines[len(lines)-1].ContextMap()["version"].(int64)
}
