package runner

import (
	"crypto/tls"
	"net"
	"net/http"

	"rhubarbtrack.example/rhubarbtrackd/internal/securer"
	"rhubarbtrack.example/rhubarbtrackd/internal/settings"
)

// transportFactory makes the connections of the daemon, with TLS when the settings name certificates.
type transportFactory struct {
	secure *securer.Securer
}

// scheme returns a scheme between hosts, "http" or "ws", with the suffix for TLS.
func (l transportFactory) scheme(plain string) string {
	if l.secure == nil {
		return plain
	}
	return plain + "s"
}

func (l transportFactory) upstreamScheme(s settings.Settings) string {
	if s.UpstreamTLS {
		return "https"
	}
	return "http"
}

// transport returns a transport with at most the given number of connections to one address, 0 for no bound.
func (l transportFactory) transport(connections int) *http.Transport {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: max(connections, 2),
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true, // bodies pass unchanged
	}
	if l.secure != nil {
		transport.TLSClientConfig = l.secure.ClientConfig()
	}
	return transport
}

// verifyPeer reports whether a request may claim to come from the named host.
func (l transportFactory) verifyPeer(r *http.Request, name string) bool {
	return l.secure == nil || securer.IsHost(r, name)
}

// secured wraps a listener for hosts or operators.
func (l transportFactory) secured(socket net.Listener) net.Listener {
	if l.secure == nil {
		return socket
	}
	return tls.NewListener(socket, l.secure.ServerConfig())
}
