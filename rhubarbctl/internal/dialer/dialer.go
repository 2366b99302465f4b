// Package dialer connects to a daemon and provides its RPCs as functions.
//
// # Usage
//
//	calls := dialer.NewCalls(settings.Client)
//	response, err := calls.GetStatus(ctx, &rhubarbtrackv1.GetStatusRequest{})
package dialer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"

	"rhubarbtrack.example/platform/transporter"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
	"rhubarbtrack.example/schema/gen/rhubarbtrack/v1/rhubarbtrackv1connect"
)

// TokenVariable is the environment variable that holds the bearer token. There is no flag for the token, because the
// process list shows command-line arguments.
const TokenVariable = "RHUBARBTRACK_TOKEN"

// Settings are the command-line options of the connection.
type Settings struct {
	Address  string        `long:"address" env:"RHUBARBTRACK_ADDRESS" default:"http://127.0.0.1:7480" description:"URL of a daemon's operators' listener"`
	Timeout  time.Duration `long:"timeout" default:"15s" description:"Timeout of one call"`
	CAFile   string        `long:"ca" env:"RHUBARBTRACK_CA" value-name:"FILE" description:"PEM file with the CA certificates that verify the daemon"`
	CertFile string        `long:"cert" env:"RHUBARBTRACK_CERT" value-name:"FILE" description:"PEM file with the client certificate"`
	KeyFile  string        `long:"key-file" env:"RHUBARBTRACK_KEY_FILE" value-name:"FILE" description:"PEM file with the private key of the client certificate"`
}

// Client is the generated client of the daemon's operator service.
type Client = rhubarbtrackv1connect.OperatorServiceClient

// Client returns a client with these settings. An empty token sends no Authorization header.
func (s Settings) Client(token string) (Client, error) {
	tlsConfig, err := s.tlsConfig()
	if err != nil {
		return nil, err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = tlsConfig
	transport.Proxy = nil
	client := &http.Client{Transport: transporter.New(transport), Timeout: s.Timeout}
	authorize := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			if token != "" {
				request.Header().Set("Authorization", "Bearer "+token)
			}
			return next(ctx, request)
		}
	})
	return rhubarbtrackv1connect.NewOperatorServiceClient(client, s.Address, connect.WithInterceptors(authorize)), nil
}

func (s Settings) tlsConfig() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if s.CAFile != "" {
		caCerts, err := os.ReadFile(s.CAFile)
		if err != nil {
			return nil, reporter.Errorf("load CA certificates", reporter.CodeUsage, "%v", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(caCerts) {
			return nil, reporter.Errorf("load CA certificates", reporter.CodeUsage, "no PEM certificate in %s", s.CAFile)
		}
	}
	if s.CertFile != "" || s.KeyFile != "" {
		pair, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
		if err != nil {
			return nil, reporter.Errorf("load client certificate", reporter.CodeUsage, "%v", err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

// Call invokes one RPC of the daemon.
type Call[I, O any] func(ctx context.Context, request *I) (*O, error)

// Calls holds the RPCs of the daemon.
type Calls struct {
	ListResources          Call[rhubarbtrackv1.ListResourcesRequest, rhubarbtrackv1.ListResourcesResponse]
	GetResource            Call[rhubarbtrackv1.GetResourceRequest, rhubarbtrackv1.GetResourceResponse]
	PutResource            Call[rhubarbtrackv1.PutResourceRequest, rhubarbtrackv1.PutResourceResponse]
	DeleteResource         Call[rhubarbtrackv1.DeleteResourceRequest, rhubarbtrackv1.DeleteResourceResponse]
	DrainUpstream          Call[rhubarbtrackv1.DrainUpstreamRequest, rhubarbtrackv1.DrainUpstreamResponse]
	TakeOutFailureDomain   Call[rhubarbtrackv1.TakeOutFailureDomainRequest, rhubarbtrackv1.TakeOutFailureDomainResponse]
	BringBackFailureDomain Call[rhubarbtrackv1.BringBackFailureDomainRequest, rhubarbtrackv1.BringBackFailureDomainResponse]
	ListHosts              Call[rhubarbtrackv1.ListHostsRequest, rhubarbtrackv1.ListHostsResponse]
	ListSlices             Call[rhubarbtrackv1.ListSlicesRequest, rhubarbtrackv1.ListSlicesResponse]
	GetOwner               Call[rhubarbtrackv1.GetOwnerRequest, rhubarbtrackv1.GetOwnerResponse]
	GetChange              Call[rhubarbtrackv1.GetChangeRequest, rhubarbtrackv1.GetChangeResponse]
	ListAudit              Call[rhubarbtrackv1.ListAuditRequest, rhubarbtrackv1.ListAuditResponse]
	GetStatus              Call[rhubarbtrackv1.GetStatusRequest, rhubarbtrackv1.GetStatusResponse]
}

// NewCalls returns the RPCs. Each invocation creates its client, because the connection settings are parsed after the
// commands are constructed.
func NewCalls(client func() (Client, error)) Calls {
	return Calls{
		ListResources:          bind(client, Client.ListResources),
		GetResource:            bind(client, Client.GetResource),
		PutResource:            bind(client, Client.PutResource),
		DeleteResource:         bind(client, Client.DeleteResource),
		DrainUpstream:          bind(client, Client.DrainUpstream),
		TakeOutFailureDomain:   bind(client, Client.TakeOutFailureDomain),
		BringBackFailureDomain: bind(client, Client.BringBackFailureDomain),
		ListHosts:              bind(client, Client.ListHosts),
		ListSlices:             bind(client, Client.ListSlices),
		GetOwner:               bind(client, Client.GetOwner),
		GetChange:              bind(client, Client.GetChange),
		ListAudit:              bind(client, Client.ListAudit),
		GetStatus:              bind(client, Client.GetStatus),
	}
}

func bind[I, O any](client func() (Client, error),
	call func(Client, context.Context, *connect.Request[I]) (*connect.Response[O], error)) Call[I, O] {
	return func(ctx context.Context, request *I) (*O, error) {
		c, err := client()
		if err != nil {
			return nil, err
		}
		response, err := call(c, ctx, connect.NewRequest(request))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	}
}
