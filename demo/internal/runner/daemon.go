package runner

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/demo/internal/configurer"
	"rhubarbtrack.example/demo/internal/launcher"
)

// daemon is a rhubarbtrackd process of one host.
type daemon struct {
	name            string
	failureDomain   string
	callerAddress   string
	peerAddress     string
	operatorAddress string
	process         *launcher.Process
	// settings is the path of the settings file.
	settings string
	restarts int
}

// startDaemons adds all hosts to the platform's host list and then starts their daemons.
func (s *scenario) startDaemons(ctx context.Context) error {
	addresses, err := freeAddresses(3 * len(daemonDomains))
	if err != nil {
		return err
	}
	for i, domain := range daemonDomains {
		s.daemons = append(s.daemons, &daemon{
			name: fmt.Sprintf("host-%d", i+1), failureDomain: domain,
			callerAddress: addresses[3*i], peerAddress: addresses[3*i+1], operatorAddress: addresses[3*i+2],
		})
	}
	for _, d := range s.daemons {
		host := configurer.Host{Name: d.name, Address: d.peerAddress, FailureDomain: d.failureDomain}
		if err := s.store.AddHost(ctx, host); err != nil {
			return err
		}
	}
	for _, d := range s.daemons {
		if err := s.startDaemon(d); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) startDaemon(d *daemon) error {
	path := filepath.Join(s.workDir, d.name+".yaml")
	if err := os.WriteFile(path, []byte(settingsOf(d, s.platform, s.peerSecret)), 0o600); err != nil {
		return errors.Wrap(err, "demo: write settings file")
	}
	d.settings = path
	process, err := s.processes.Start(d.name, "rhubarbtrackd", "--settings", path)
	d.process = process
	return err
}

// settingsOf returns the content of the settings file of a daemon, in YAML.
func settingsOf(d *daemon, platform, secret string) string {
	lines := []string{
		"name: " + d.name,
		"failure-domain: " + d.failureDomain,
		"caller-listen: " + d.callerAddress,
		"peer-listen: " + d.peerAddress,
		"operator-listen: " + d.operatorAddress,
		"platform: " + platform,
		"peer-secret: " + secret,
	}
	return strings.Join(lines, "\n") + "\n"
}

// freeAddresses returns addresses on loopback with free ports. The listeners stay open until all ports are chosen, so
// that the addresses differ. Another process may take a port before it is used.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "demo: find a free port")
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
