package lab

import (
	"fmt"
	"net"
	"strings"
)

// Hostname is the virtual host of the routes that the cases use.
const Hostname = "ficu95.example"

// ServiceOptions describes a service in a configuration.
type ServiceOptions struct {
	Name  string
	Keyed bool
}

// RouteOptions describes a route in a configuration.
type RouteOptions struct {
	Name, Prefix, Service string
	Idempotent            bool
	TimeoutSeconds        float64
}

// Configuration returns a configuration in the platform's form, with the limits of the example on its pages.
func Configuration(version int, services []ServiceOptions, routes []RouteOptions) map[string]any {
	var listed, paths []any
	for _, s := range services {
		listed = append(listed, map[string]any{
			"name": s.Name, "health_check_path": "/health", "max_connections": 120, "warmup_s": 3.0, "warmup_per_s": 8.0, "sharded": s.Keyed,
		})
	}
	for _, r := range routes {
		kind := "non_idempotent"
		if r.Idempotent {
			kind = "idempotent"
		}
		paths = append(paths, map[string]any{
			"name": r.Name, "path_prefix": r.Prefix, "kind": kind, "timeout_s": r.TimeoutSeconds, "target_latency_s": 0.6,
			"priority": 1, "service": r.Service, "max_attempts": 2,
		})
	}
	return map[string]any{
		"version": version, "services": listed,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 64 << 20, "header_timeout_s": 3, "idle_timeout_s": 15,
		},
		"virtual_hosts": []any{map[string]any{"hostname": Hostname, "route_paths": paths}},
	}
}

// hostSettings are the fields of a settings file that differ between hosts.
type hostSettings struct {
	name, zone, ip, callers, ready, store string
	peerPort                              int
}

// file returns the settings file in the platform's form, with the bounds of the small deployments.
func (h hostSettings) file() []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "self_node:\n  node_name: %q\n  ip_address: %q\n  zone: %q\n  bootstrap: true\n", h.name, h.ip, h.zone)
	text.WriteString("  limits:\n    cpu_share: 0.32\n    cpu_cores: 1\n    memory_mb: 284\n    file_descriptors: 4100\n")
	fmt.Fprintf(&text, "network:\n  listen_addresses:\n    front: %q\n    ready: %q\n", h.callers, h.ready)
	fmt.Fprintf(&text, "  internal_port_range:\n    - %d\n    - %d\n", h.peerPort, h.peerPort)
	fmt.Fprintf(&text, "platform:\n  platform:\n    address: %q\n", h.store)
	text.WriteString("terms:\n  bounds:\n    drain_s: 2\n    grace_s: 6\n    loss_slack_s: 0.2\n    config_apply_s: 2\n    evacuation_s: 5\n")
	text.WriteString("    hold_max_s: 10\n    retry_budget_ratio: 0.2\n    budget_window_s: 10\n    retry_budget_slack: 60\n")
	text.WriteString("    warmup_overshoot: 1.5\n    warmup_slack: 5\n")
	return []byte(text.String())
}

func join(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }
