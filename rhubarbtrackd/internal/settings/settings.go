// Package settings reads and validates the settings file of the daemon.
//
// The file is a YAML mapping with keys in kebab case. Parsing is strict, so that no setting is ignored. All
// faults of a file are reported together, each with its line: unknown, duplicate and missing keys, malformed values,
// values out of range, and values that contradict each other.
//
// # Usage
//
//	s, err := settings.Load("/etc/rhubarbtrackd.yaml")
//	if err != nil {
//		// err lists every fault as file:line: key: reason
//	}
package settings

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings are the validated settings of one host.
type Settings struct {
	Name           string
	FailureDomain  string
	Region         string
	CallerListen   string // host:port for callers, health and readiness
	PeerListen     string // host:port for other hosts
	PeerAdvertise  string // host:port under which other hosts reach PeerListen; default PeerListen
	OperatorListen string // host:port for operators and metrics; loopback only without TLS
	Platform       string // base URL of the object API
	PeerSecret     string // shared by all hosts of the system; empty only while peers listen on loopback
	TLS            TLS
	UpstreamTLS    bool          // upstreams are called with https
	ShutdownGrace  time.Duration // maximum wait for requests in flight at shutdown
	RequestTimeout time.Duration // of a request whose caller sends no deadline
	MaxBody        int64         // maximum size of a request body in bytes
	Seed           uint64        // of randomized decisions; 0 to derive it from Name
	LogLevel       string        // debug, info, warn or error
}

// TLS contains the paths of PEM files. Either all are set or, without TLS, none.
type TLS struct {
	Certificate string
	Key         string
	Authority   string // CA that issues the certificates of hosts and operators
}

// Enabled reports whether the listeners use TLS.
func (t TLS) Enabled() bool { return t.Certificate != "" }

const (
	defaultShutdownGrace  = 30 * time.Second
	defaultRequestTimeout = 10 * time.Second
	defaultMaxBody        = 16 << 20
	maxRequestTimeout     = 5 * time.Minute
	maxMaxBody            = 1 << 30
)

// Kind classifies errors of this package.
type Kind int

// Kinds of errors.
const (
	Unreadable Kind = iota + 1
	Invalid
)

// Error is the error type of this package.
type Error struct {
	Op     string
	Kind   Kind
	Faults []Fault // if Kind is Invalid, in the order of lines
	Err    error   // if Kind is Unreadable
}

// Fault is one error in a settings file. Line is 0 for missing keys.
type Fault struct {
	File   string
	Line   int
	Key    string
	Reason string
}

func (f Fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", f.File, f.Key, f.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Reason)
}

func (e *Error) Error() string {
	if e.Kind == Unreadable {
		return fmt.Sprintf("%s: %v", e.Op, e.Err)
	}
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the cause of an unreadable file.
func (e *Error) Unwrap() error { return e.Err }

// Load reads and validates a settings file. Errors are of type *Error.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{Op: "read settings", Kind: Unreadable, Err: errors.WithStack(err)}
	}
	return Parse(path, content)
}

// Parse validates the content of a settings file. The name file appears only in faults.
func Parse(file string, content []byte) (Settings, error) {
	s := Settings{
		ShutdownGrace:  defaultShutdownGrace,
		RequestTimeout: defaultRequestTimeout,
		MaxBody:        defaultMaxBody,
		LogLevel:       "info",
	}
	p := parser{file: file, lines: map[string]int{}}
	p.parse(content, fields(&s))
	if s.PeerAdvertise == "" {
		s.PeerAdvertise = s.PeerListen
	}
	p.checkCombinations(s)
	if len(p.faults) > 0 {
		return Settings{}, &Error{Op: "check settings", Kind: Invalid, Faults: p.sorted()}
	}
	return s, nil
}

func (p *parser) checkCombinations(s Settings) {
	tls := s.TLS
	if tls.Enabled() != (tls.Key != "") || (tls.Authority != "" && !tls.Enabled()) || (tls.Enabled() && tls.Authority == "") {
		p.fault("tls-certificate", "tls-certificate, tls-key and tls-authority must be given together")
	}
	if s.UpstreamTLS && !tls.Enabled() {
		p.fault("upstream-tls", "needs tls-certificate, tls-key and tls-authority")
	}
	if s.OperatorListen != "" && !tls.Enabled() && !isLoopback(s.OperatorListen) {
		p.fault("operator-listen", "must be a loopback address without TLS")
	}
	if s.PeerListen != "" && s.PeerSecret == "" && !tls.Enabled() && !isLoopback(s.PeerListen) {
		p.fault("peer-secret", "required when peers listen beyond loopback without TLS")
	}
	seen := map[string]string{}
	for _, listener := range []struct{ key, address string }{
		{"caller-listen", s.CallerListen}, {"peer-listen", s.PeerListen}, {"operator-listen", s.OperatorListen},
	} {
		if listener.address == "" || strings.HasSuffix(listener.address, ":0") {
			continue
		}
		if other, ok := seen[listener.address]; ok {
			p.fault(listener.key, "same address as "+other)
		}
		seen[listener.address] = listener.key
	}
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
