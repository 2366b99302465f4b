package runner

import (
	"crypto/tls"
	"net"
	"net/http"

	"rhubarbtrack.example/platform/transporter"
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
func (f transportFactory) scheme(plain string) string {
	if f.secure == nil {
		return plain
	}
	return plain + "s"
}

func (f transportFactory) upstreamScheme(s settings.Settings) string {
	if s.UpstreamTLS {
		return "https"
	}
	return "http"
}

// transport returns a transport with at most the given number of connections to one address. 0 means unlimited. Its calls fail when
// the head of a response is invalid.
func (f transportFactory) transport(connections int) *transporter.Transport {
	base := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: max(connections, 2),
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true, // bodies are passed on unchanged
	}
	if f.secure != nil {
		base.TLSClientConfig = f.secure.ClientConfig()
	}
	return transporter.New(base)
}

// verifyPeer reports whether the client certificate of a request belongs to the named host. Without TLS it accepts
// every request.
func (f transportFactory) verifyPeer(r *http.Request, name string) bool {
	return f.secure == nil || securer.IsHost(r, name)
}

// secured wraps a listener for hosts or operators with TLS, if enabled.
func (f transportFactory) secured(socket net.Listener) net.Listener {
	if f.secure == nil {
		return socket
	}
	return tls.NewListener(socket, f.secure.ServerConfig())
}
