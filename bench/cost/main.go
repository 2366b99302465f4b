// Command cost measures the resource usage of real daemons on the loopback interface: CPU time and memory as functions
// of the request rate and of the fleet size, and the latency that a daemon adds to a direct call.
//
// Usage:
//
//	script/build && go run ./bench/cost
package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"rhubarbtrack.example/bench/cost/internal/fitter"
	"rhubarbtrack.example/bench/cost/internal/starter"
	"rhubarbtrack.example/bench/internal/printer"
)

const (
	upstreamsPerService = 12
	measureTime         = 5 * time.Second
	readyTimeout        = 30 * time.Second
	keyCount            = 1000
)

// Settings of the fitted lines. Each list has at least three values, so that the error of the fit is meaningful.
var (
	fleetSizes     = []int{3, 10, 20}
	upstreamCounts = []int{4, 16, 32} // upstreams of one controller
	rates          = []int{200, 600, 1200}
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	if err := measureFleet(); err != nil {
		return err
	}
	if err := measureControllers(); err != nil {
		return err
	}
	return measureRequests()
}

// measureControllers prints the CPU usage of the busiest idle daemon, which is the controller, for several numbers of
// its upstreams. All daemons share the admission roles, so the figure contains a part of the admission work.
func measureControllers() error {
	var processor []fitter.Point
	for _, size := range upstreamCounts {
		s, err := startSystem(3, size, 0)
		if err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
		before, err := s.usages()
		if err != nil {
			s.close()
			return err
		}
		time.Sleep(measureTime)
		after, err := s.usages()
		s.close()
		if err != nil {
			return err
		}
		busiest := 0.0
		for i := range after {
			busiest = max(busiest, (after[i].CPUTime-before[i].CPUTime).Seconds()/measureTime.Seconds())
		}
		processor = append(processor, fitter.Point{X: float64(size), Y: busiest})
		printFigure(fmt.Sprintf("cost-controller-processor-%d-upstreams", size), 0, busiest, 0.011, "cores")
	}
	printFit("cost-controller-processor-per-upstream", fitter.Fit(processor), "cores")
	return nil
}

// measureFleet prints the CPU and memory usage of idle daemons for several numbers of daemons.
func measureFleet() error {
	var processor, memory []fitter.Point
	for _, size := range fleetSizes {
		s, err := startSystem(size, upstreamsPerService, upstreamsPerService)
		if err != nil {
			return err
		}
		time.Sleep(2 * time.Second) // until the relay tree and the roles of the hosts are stable
		used, resident, err := s.usageDuring(measureTime, func() {})
		s.close()
		if err != nil {
			return err
		}
		processor = append(processor, fitter.Point{X: float64(size), Y: used / float64(size)})
		memory = append(memory, fitter.Point{X: float64(size), Y: resident / float64(size)})
		printFigure(fmt.Sprintf("cost-idle-processor-%d-hosts", size), 0, used/float64(size), 0.011, "cores/host")
		printFigure(fmt.Sprintf("cost-idle-memory-%d-hosts", size), 0, resident/float64(size), 64e6, "bytes/host")
	}
	printFit("cost-idle-processor-per-host", fitter.Fit(processor), "cores/host")
	printFit("cost-idle-memory-per-host", fitter.Fit(memory), "bytes/host")
	return nil
}

// measureRequests prints the CPU and memory usage per request and the added latency of three daemons.
func measureRequests() error {
	s, err := startSystem(3, upstreamsPerService, upstreamsPerService)
	if err != nil {
		return err
	}
	defer s.close()
	s.sendRequests(600, 3*time.Second, s.entries, "marks") // warms up the upstreams and opens connections
	var processor, memory []fitter.Point
	for _, rate := range rates {
		var latencies []time.Duration
		used, resident, err := s.usageDuring(measureTime, func() { latencies = s.sendRequests(rate, measureTime, s.entries, "marks") })
		if err != nil {
			return err
		}
		processor = append(processor, fitter.Point{X: float64(len(latencies)) / measureTime.Seconds(), Y: used})
		memory = append(memory, fitter.Point{X: float64(rate), Y: resident / 3})
		printFigure(fmt.Sprintf("cost-processor-%d-requests", rate), 0, used, 0, "cores of 3 hosts")
	}
	line := fitter.Fit(processor)
	printFit("cost-processor-per-request", line, "core-s")
	printFit("cost-memory-per-request-rate", fitter.Fit(memory), "bytes*s")
	printFigure("cost-requests-per-core", 0, 1/line.Slope, 0, "1/s")
	direct := s.sendRequests(300, measureTime, s.upstreams, "labels")
	routed := s.sendRequests(300, measureTime, s.entries, "labels")
	for _, quantile := range []float64{0.5, 0.99} {
		name := fmt.Sprintf("cost-added-latency-p%g", quantile*100)
		added := quantileOf(routed, quantile) - quantileOf(direct, quantile)
		printFigure(name, quantileOf(direct, quantile).Seconds()*1000, added.Seconds()*1000, 0, "ms")
	}
	return nil
}

func printFigure(measure string, naive, ours, bound float64, unit string) {
	line := printer.Line{Measure: measure, Naive: naive, Ours: ours, Bound: bound, HasBound: bound > 0, Unit: unit, Seed: 1}
	if err := printer.Print(os.Stdout, line); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

func printFit(measure string, line fitter.Line, unit string) {
	fmt.Printf("fit=%s base=%.6g slope=%.6g error=%.2g unit=%s\n", measure, line.Base, line.Slope, line.Error, unit)
}

func quantileOf(latencies []time.Duration, quantile float64) time.Duration {
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	if len(latencies) == 0 {
		return 0
	}
	return latencies[int(quantile*float64(len(latencies)-1))]
}

// system is a running set of daemons, upstreams and a platform.
type system struct {
	starter    *starter.Starter
	workFolder string
	daemons    []*starter.Process
	entries    []string // addresses of the daemons for callers
	upstreams  []string // addresses of the upstreams of the service labels
	client     *http.Client
}

func startSystem(hosts, keyed, unkeyed int) (*system, error) {
	work, err := os.MkdirTemp("", "rhubarbtrack-cost-")
	if err != nil {
		return nil, err
	}
	s := &system{
		starter:    starter.New(".bin", work),
		workFolder: work,
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: 10 * time.Second},
	}
	if err := s.startAll(hosts, keyed, unkeyed); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *system) close() {
	s.starter.KillAll()
	_ = os.RemoveAll(s.workFolder)
}

func (s *system) startAll(hosts, keyed, unkeyed int) error {
	platform, err := s.startSimulator("platform", "platformsim")
	if err != nil {
		return err
	}
	base := "http://" + platform
	if err := s.put(base+"/v1/objects/config/service/marks", `{"name":"marks","keyed":true,"key-header":"Rhubarbtrack-Key",`+
		`"slice-count":96,"rules":[],"writer":"cost","operation":"1"}`); err != nil {
		return err
	}
	if unkeyed > 0 {
		if err := s.put(base+"/v1/objects/config/service/labels", `{"name":"labels","keyed":false,"rules":[],"writer":"cost",`+
			`"operation":"1"}`); err != nil {
			return err
		}
	}
	for i := range keyed {
		if _, err := s.addUpstream(base, "marks", i); err != nil {
			return err
		}
	}
	for i := range unkeyed {
		address, err := s.addUpstream(base, "labels", i, "--no-keys")
		if err != nil {
			return err
		}
		s.upstreams = append(s.upstreams, address)
	}
	for i := range 3 {
		body := fmt.Sprintf(`{"name":"d%d","taken-out":false,"writer":"cost","operation":"1"}`, i)
		if err := s.put(fmt.Sprintf("%s/v1/objects/config/failure-domain/d%d", base, i), body); err != nil {
			return err
		}
	}
	for i := range hosts {
		if err := s.startDaemon(base, i); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

// addUpstream starts an upstream of a service, adds it to the configuration and returns its address.
func (s *system) addUpstream(base, service string, number int, options ...string) (string, error) {
	args := append([]string{"--warm", "--service-time-ms", "2", "--slots", "16"}, options...)
	address, err := s.startSimulator(fmt.Sprintf("%s-u%d", service, number), "upstreamsim", args...)
	if err != nil {
		return "", err
	}
	body := fmt.Sprintf(`{"name":"u%d","service":"%s","failure-domain":"d%d","address":"%s","slots":16,`+
		`"connections":130,"checks-fence":true,"drained":false,"writer":"cost","operation":"1"}`, number, service, number%3, address)
	return address, s.put(fmt.Sprintf("%s/v1/objects/config/upstream/%s.u%d", base, service, number), body)
}

func (s *system) startSimulator(name, program string, args ...string) (string, error) {
	p, err := s.starter.Start(name, program, append(args, "--listen", "127.0.0.1:0")...)
	if err != nil {
		return "", err
	}
	return p.Address()
}

// startDaemon starts a daemon on free ports. Each port is released before the daemon listens on it, so another process
// can take it in between; the daemon then fails to start.
func (s *system) startDaemon(base string, number int) error {
	name := fmt.Sprintf("host-%d", number)
	var ports []string
	for range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		ports = append(ports, listener.Addr().String())
		if err := listener.Close(); err != nil {
			return err
		}
	}
	settings := fmt.Sprintf("name: %s\nfailure-domain: d%d\ncaller-listen: %s\npeer-listen: %s\noperator-listen: %s\n"+
		"platform: %s\npeer-secret: cost\nlog-level: error\n", name, number%3, ports[0], ports[1], ports[2], base)
	file := filepath.Join(s.workFolder, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	entry := fmt.Sprintf(`{"name":"%s","address":"%s","failure-domain":"d%d","state":"live"}`, name, ports[1], number%3)
	if err := s.put(base+"/v1/hosts/"+name, entry); err != nil {
		return err
	}
	p, err := s.starter.Start(name, "rhubarbtrackd", "--settings", file)
	s.daemons = append(s.daemons, p)
	s.entries = append(s.entries, ports[0])
	return err
}

func (s *system) put(url, body string) error {
	request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= 300 {
		return fmt.Errorf("PUT %s: unexpected status %d", url, response.StatusCode)
	}
	return nil
}

func (s *system) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, entry := range s.entries {
		for {
			response, err := s.client.Get("http://" + entry + "/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("http://%s/readyz did not return status 200 before the timeout", entry)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// usages returns the resource usage of every daemon.
func (s *system) usages() ([]starter.Usage, error) {
	usages := make([]starter.Usage, len(s.daemons))
	for i, p := range s.daemons {
		usage, err := p.Usage()
		if err != nil {
			return nil, err
		}
		usages[i] = usage
	}
	return usages, nil
}

// usageDuring runs work and returns the cores that all daemons used in that time, and their resident bytes at its end.
// If work returns before length has passed, the measurement lasts for length.
func (s *system) usageDuring(length time.Duration, work func()) (cores, memory float64, err error) {
	before, err := s.usages()
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	work()
	if rest := length - time.Since(start); rest > 0 {
		time.Sleep(rest)
	}
	elapsed := time.Since(start)
	after, err := s.usages()
	if err != nil {
		return 0, 0, err
	}
	for i := range after {
		cores += (after[i].CPUTime - before[i].CPUTime).Seconds() / elapsed.Seconds()
		memory += float64(after[i].ResidentBytes)
	}
	return cores, memory, nil
}

// sendRequests sends requests at a fixed rate (open loop) and returns the latencies of the successful ones. Latencies
// count from the scheduled time, so that a late sender does not hide delays.
func (s *system) sendRequests(rate int, length time.Duration, targets []string, service string) []time.Duration {
	var mu sync.Mutex
	var latencies []time.Duration
	var wait sync.WaitGroup
	start := time.Now()
	interval := time.Second / time.Duration(rate)
	for i := range int(length / interval) {
		intended := start.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(intended))
		wait.Add(1)
		go func() {
			defer wait.Done()
			if s.sendRequest(targets[i%len(targets)], service, i) {
				mu.Lock()
				latencies = append(latencies, time.Since(intended))
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	return latencies
}

// sendRequest reports whether the response has status 200 and a full body.
func (s *system) sendRequest(target, service string, number int) bool {
	request, err := http.NewRequest(http.MethodGet, "http://"+target+"/"+service+"/x", bytes.NewReader(nil))
	if err != nil {
		return false
	}
	request.Header.Set("Rhubarbtrack-Key", fmt.Sprintf("key-%d", number%keyCount))
	response, err := s.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
