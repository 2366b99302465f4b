package runner

import (
	"crypto/tls"
	"net"
	"net/http"

	"rhubarbtrack.example/rhubarbtrackd/internal/securer"
	"rhubarbtrack.example/rhubarbtrackd/internal/settings"
)

// transportFactory creates the HTTP transports and wraps the listeners of the daemon. They use TLS if the settings name
// certificates.
type transportFactory struct {
	secure *securer.Securer
}

// scheme returns plain, which is "http" or "ws", or its TLS variant "https" or "wss" if connections between hosts use
// TLS.
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

// transport returns a transport with at most the given number of connections to one address. 0 means unlimited.
func (l transportFactory) transport(connections int) *http.Transport {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: max(connections, 2),
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true, // bodies are passed on unchanged
	}
	if l.secure != nil {
		transport.TLSClientConfig = l.secure.ClientConfig()
	}
	return transport
}

// verifyPeer reports whether the client certificate of a request belongs to the named host. Without TLS it accepts
// every request.
func (l transportFactory) verifyPeer(r *http.Request, name string) bool {
	return l.secure == nil || securer.IsHost(r, name)
}

// secured wraps a listener for hosts or operators with TLS, if enabled.
func (l transportFactory) secured(socket net.Listener) net.Listener {
	if l.secure == nil {
		return socket
	}
	return tls.NewListener(socket, l.secure.ServerConfig())
}
