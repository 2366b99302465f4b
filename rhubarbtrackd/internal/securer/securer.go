// Package securer provides the TLS configurations of the daemon and reloads certificate, key and certificate authority
// without a restart.
//
// Hosts and operators authenticate with client certificates of the same authority. The organizational unit of a
// certificate determines its role: "host" for hosts, and "view", "operate" or "configure" for operators. An operator
// can therefore not connect as a host, and a host has no operator role.
//
// # Usage
//
//	s, err := securer.New(files)
//	listener = tls.NewListener(listener, s.ServerConfig())
//	transport.TLSClientConfig = s.ClientConfig()
//	changed, err := s.Reload()
package securer

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// HostUnit is the organizational unit in the certificates of hosts.
const HostUnit = "host"

// Files are the paths of the PEM files. Authority contains the certificates of the certificate authority.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Kind classifies errors of this package.
type Kind int

// Kinds of errors.
const (
	Unreadable Kind = iota + 1
	Unusable
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	contents    [3][]byte
}

// Securer is safe for concurrent use.
type Securer struct {
	files   Files
	mu      sync.Mutex // serialises reloads
	current atomic.Pointer[credentials]
}

// New reads the files. Errors are of kind Unreadable or Unusable.
func New(files Files) (*Securer, error) {
	s := &Securer{files: files}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again and reports whether they changed. On an error, such as a partially written file, the
// previous credentials stay in use.
func (s *Securer) Reload() (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next credentials
	for i, file := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		content, err := os.ReadFile(file)
		if err != nil {
			return false, &Error{Op: "read TLS files", Kind: Unreadable, Err: errors.WithStack(err)}
		}
		next.contents[i] = content
	}
	if present := s.current.Load(); present != nil && sameContents(present, &next) {
		return false, nil
	}
	certificate, err := tls.X509KeyPair(next.contents[0], next.contents[1])
	if err != nil {
		return false, &Error{Op: "use TLS files", Kind: Unusable, Err: err}
	}
	next.certificate = certificate
	next.authority = x509.NewCertPool()
	if !next.authority.AppendCertsFromPEM(next.contents[2]) {
		return false, &Error{Op: "use TLS files", Kind: Unusable, Err: errors.Newf("no certificate in %s", s.files.Authority)}
	}
	s.current.Store(&next)
	return true, nil
}

func sameContents(a, b *credentials) bool {
	for i := range a.contents {
		if !bytes.Equal(a.contents[i], b.contents[i]) {
			return false
		}
	}
	return true
}

// ServerConfig returns the configuration of a listener that requires client certificates of the authority. Connections
// opened after a reload use the new credentials.
func (s *Securer) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			present := s.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{present.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    present.authority,
			}, nil
		},
	}
}

// ClientConfig returns the configuration for connections to hosts, upstreams and the platform. Each connection verifies
// the server against the current authority. Setting RootCAs instead would not follow a reload.
func (s *Securer) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
		// Safe, because VerifyConnection verifies the certificate chain and the name.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyServer,
	}
}

func (s *Securer) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return &Error{Op: "verify server", Kind: Unusable, Err: errors.New("no certificate")}
	}
	options := x509.VerifyOptions{
		Roots:         s.current.Load().authority,
		DNSName:       state.ServerName,
		Intermediates: x509.NewCertPool(),
	}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return &Error{Op: "verify server", Kind: Unusable, Err: err}
	}
	return nil
}

// IsHost reports whether a request was authenticated with the certificate of the named host.
func IsHost(r *http.Request, name string) bool {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return false
	}
	subject := r.TLS.VerifiedChains[0][0].Subject
	return slices.Contains(subject.OrganizationalUnit, HostUnit) && subject.CommonName == name
}
