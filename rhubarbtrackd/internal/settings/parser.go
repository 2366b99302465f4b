package settings

import (
	"fmt"
	"net"
	"net/url"
	"regexp"
	"sort"
	"strconv"
	"time"

	"github.com/goccy/go-yaml/ast"
	yamlparser "github.com/goccy/go-yaml/parser"
)

// field is one key of the file. The function set stores a valid value, and returns the reason if a value is rejected,
// or "".
type field struct {
	key      string
	required bool
	set      func(value string) string
}

func fields(s *Settings) []field {
	return []field{
		{"name", true, setName(&s.Name)},
		{"failure-domain", true, setName(&s.FailureDomain)},
		{"region", false, setName(&s.Region)},
		{"caller-listen", true, setAddress(&s.CallerListen)},
		{"peer-listen", true, setAddress(&s.PeerListen)},
		{"peer-advertise", false, setAddress(&s.PeerAdvertise)},
		{"operator-listen", true, setAddress(&s.OperatorListen)},
		{"platform", true, setURL(&s.Platform)},
		{"peer-secret", false, setString(&s.PeerSecret)},
		{"tls-certificate", false, setString(&s.TLS.Certificate)},
		{"tls-key", false, setString(&s.TLS.Key)},
		{"tls-authority", false, setString(&s.TLS.Authority)},
		{"upstream-tls", false, setBool(&s.UpstreamTLS)},
		{"shutdown-grace", false, setDuration(&s.ShutdownGrace, time.Second, 10*time.Minute)},
		{"request-timeout", false, setDuration(&s.RequestTimeout, 10*time.Millisecond, maxRequestTimeout)},
		{"max-body-bytes", false, setInteger(&s.MaxBody, 1, maxMaxBody)},
		{"seed", false, setSeed(&s.Seed)},
		{"log-level", false, setChoice(&s.LogLevel, "debug", "info", "warn", "error")},
	}
}

type parser struct {
	file   string
	faults []Fault
	lines  map[string]int
}

func (p *parser) fault(key, reason string) {
	p.faults = append(p.faults, Fault{File: p.file, Line: p.lines[key], Key: key, Reason: reason})
}

func (p *parser) sorted() []Fault {
	sort.SliceStable(p.faults, func(i, j int) bool { return p.faults[i].Line < p.faults[j].Line })
	return p.faults
}

func (p *parser) parse(content []byte, known []field) {
	file, err := yamlparser.ParseBytes(content, 0, yamlparser.AllowDuplicateMapKey())
	if err != nil {
		p.fault("file", "not YAML: "+err.Error())
		return
	}
	byKey := make(map[string]field, len(known))
	for _, f := range known {
		byKey[f.key] = f
	}
	if len(file.Docs) > 1 {
		p.fault("file", "more than one YAML document")
	}
	for _, doc := range file.Docs {
		p.parseBody(doc.Body, byKey)
	}
	for _, f := range known {
		if _, present := p.lines[f.key]; f.required && !present {
			p.fault(f.key, "missing")
		}
	}
}

func (p *parser) parseBody(body ast.Node, byKey map[string]field) {
	var entries []*ast.MappingValueNode
	switch node := body.(type) {
	case nil:
		return
	case *ast.MappingNode:
		entries = node.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{node}
	default:
		p.fault("file", "must be a mapping")
		return
	}
	for _, entry := range entries {
		p.parseEntry(entry, byKey)
	}
}

func (p *parser) parseEntry(entry *ast.MappingValueNode, byKey map[string]field) {
	key := entry.Key.GetToken().Value
	line := entry.Key.GetToken().Position.Line
	first, duplicate := p.lines[key]
	p.lines[key] = line
	f, ok := byKey[key]
	if !ok {
		p.fault(key, "unknown key")
		return
	}
	if duplicate {
		p.fault(key, fmt.Sprintf("duplicate key, first in line %d", first))
		return
	}
	scalar, ok := entry.Value.(ast.ScalarNode)
	if !ok || entry.Value.Type() == ast.NullType {
		p.fault(key, "must be a single value")
		return
	}
	if reason := f.set(scalar.GetToken().Value); reason != "" {
		p.fault(key, reason)
	}
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func setName(target *string) func(string) string {
	return func(value string) string {
		if !namePattern.MatchString(value) {
			return "must be 1 to 63 lower-case letters, digits and hyphens"
		}
		*target = value
		return ""
	}
}

func setString(target *string) func(string) string {
	return func(value string) string {
		if value == "" {
			return "must not be empty"
		}
		*target = value
		return ""
	}
}

func setAddress(target *string) func(string) string {
	return func(value string) string {
		host, port, err := net.SplitHostPort(value)
		if err != nil || net.ParseIP(host) == nil {
			return "must be an IP address and a port, such as 127.0.0.1:8080"
		}
		if number, err := strconv.Atoi(port); err != nil || number < 0 || number > 65535 {
			return "port must be between 0 and 65535"
		}
		*target = value
		return ""
	}
}

func setURL(target *string) func(string) string {
	return func(value string) string {
		parsed, err := url.Parse(value)
		if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
			return "must be an http or https URL"
		}
		*target = value
		return ""
	}
}

func setDuration(target *time.Duration, low, high time.Duration) func(string) string {
	return func(value string) string {
		duration, err := time.ParseDuration(value)
		if err != nil || duration < low || duration > high {
			return fmt.Sprintf("must be a duration between %s and %s", low, high)
		}
		*target = duration
		return ""
	}
}

func setInteger(target *int64, low, high int64) func(string) string {
	return func(value string) string {
		number, err := strconv.ParseInt(value, 10, 64)
		if err != nil || number < low || number > high {
			return fmt.Sprintf("must be an integer between %d and %d", low, high)
		}
		*target = number
		return ""
	}
}

func setBool(target *bool) func(string) string {
	return func(value string) string {
		if value != "true" && value != "false" {
			return "must be true or false"
		}
		*target = value == "true"
		return ""
	}
}

func setSeed(target *uint64) func(string) string {
	return func(value string) string {
		number, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			return "must be a non-negative integer"
		}
		*target = number
		return ""
	}
}

func setChoice(target *string, choices ...string) func(string) string {
	return func(value string) string {
		for _, choice := range choices {
			if value == choice {
				*target = value
				return ""
			}
		}
		return fmt.Sprintf("must be one of %v", choices)
	}
}
