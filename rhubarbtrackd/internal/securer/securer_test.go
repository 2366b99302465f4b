package securer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbtrackd/internal/securer"
)

// authority issues certificates for tests.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	a.certificate, a.key = a.issue("authority", "", nil)
	return a
}

func (a *authority) issue(name, unit string, parent *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name, OrganizationalUnit: []string{unit}},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  parent == nil,
		BasicConstraintsValid: true,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	signer, signerKey := template, key
	if parent != nil {
		signer, signerKey = parent.certificate, parent.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, signer, &key.PublicKey, signerKey)
	assert.NilError(a.t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(a.t, err)
	return certificate, key
}

// write stores a new certificate of the given subject and returns its files.
func (a *authority) write(dir, name, unit string) securer.Files {
	certificate, key := a.issue(name, unit, a)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(a.t, err)
	files := securer.Files{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	writePEM(a.t, files.Certificate, "CERTIFICATE", certificate.Raw)
	writePEM(a.t, files.Key, "EC PRIVATE KEY", keyDER)
	writePEM(a.t, files.Authority, "CERTIFICATE", a.certificate.Raw)
	return files
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// Guards against a process without a host's certificate that joins, and against clients that trust any server.
func TestOnlyCertifiedHostsConnect(t *testing.T) {
	ours, other := newAuthority(t), newAuthority(t)
	server, err := securer.New(ours.write(t.TempDir(), "host-1", securer.HostUnit))
	assert.NilError(t, err)
	web := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !securer.IsHost(r, r.Header.Get("Name")) {
			w.WriteHeader(http.StatusForbidden)
		}
	}))
	web.Listener = tls.NewListener(web.Listener, server.ServerConfig())
	web.Start()
	defer web.Close()
	url := "https://" + web.Listener.Addr().String()
	tests := []struct {
		name   string
		files  securer.Files
		claims string
		status int // 0: no connection
	}{
		{name: "host", files: ours.write(t.TempDir(), "host-2", securer.HostUnit), claims: "host-2", status: 200},
		{name: "host with another name", files: ours.write(t.TempDir(), "host-2", securer.HostUnit), claims: "host-3", status: 403},
		{name: "operator", files: ours.write(t.TempDir(), "host-2", "configure"), claims: "host-2", status: 403},
		{name: "other authority", files: other.write(t.TempDir(), "host-2", securer.HostUnit), claims: "host-2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, err := securer.New(tt.files)
			assert.NilError(t, err)
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: s.ClientConfig()}}
			request, err := http.NewRequest(http.MethodGet, url, nil)
			assert.NilError(t, err)
			request.Header.Set("Name", tt.claims)
			response, err := client.Do(request)
			if tt.status == 0 {
				assert.Assert(t, err != nil)
				return
			}
			assert.NilError(t, err)
			defer response.Body.Close()
			assert.Equal(t, response.StatusCode, tt.status)
		})
	}
}

// Guards against a restart being needed for a new certificate, and against a half-written file ending the service.
func TestReload(t *testing.T) {
	a := newAuthority(t)
	dir := t.TempDir()
	files := a.write(dir, "host-1", securer.HostUnit)
	s, err := securer.New(files)
	assert.NilError(t, err)
	changed, err := s.Reload()
	assert.NilError(t, err)
	assert.Assert(t, !changed)
	a.write(dir, "host-1", securer.HostUnit)
	changed, err = s.Reload()
	assert.NilError(t, err)
	assert.Assert(t, changed)
	assert.NilError(t, os.WriteFile(files.Key, []byte("half"), 0o600))
	_, err = s.Reload()
	var failure *securer.Error
	assert.Assert(t, err != nil)
	assert.ErrorType(t, err, failure)
}
