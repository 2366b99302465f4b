// Package dialer connects to a daemon and offers its calls as functions.
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

	"rhubarbtrack.example/rhubarbctl/internal/reporter"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
	"rhubarbtrack.example/schema/gen/rhubarbtrack/v1/rhubarbtrackv1connect"
)

// TokenVariable is the environment variable that holds the bearer token. A flag would show it in the list of processes.
const TokenVariable = "RHUBARBTRACK_TOKEN"

// Settings are the options of the connection.
type Settings struct {
	Address  string        `long:"address" env:"RHUBARBTRACK_ADDRESS" default:"http://127.0.0.1:7480" description:"URL of a daemon's operators' listener"`
	Timeout  time.Duration `long:"timeout" default:"15s" description:"Time limit of one call"`
	CAFile   string        `long:"ca" env:"RHUBARBTRACK_CA" value-name:"FILE" description:"PEM file with the authorities of the daemon's certificate"`
	CertFile string        `long:"cert" env:"RHUBARBTRACK_CERT" value-name:"FILE" description:"PEM file with the operator's certificate"`
	KeyFile  string        `long:"key-file" env:"RHUBARBTRACK_KEY_FILE" value-name:"FILE" description:"PEM file with the key of the certificate"`
}

// Client is the generated client.
type Client = rhubarbtrackv1connect.OperatorServiceClient

// Client returns a client with these settings. The token may be empty.
func (s Settings) Client(token string) (Client, error) {
	security, err := s.security()
	if err != nil {
		return nil, err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = security
	transport.Proxy = nil
	client := &http.Client{Transport: transport, Timeout: s.Timeout}
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

func (s Settings) security() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if s.CAFile != "" {
		authorities, err := os.ReadFile(s.CAFile)
		if err != nil {
			return nil, reporter.Errorf("ca", reporter.CodeUsage, "%v", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(authorities) {
			return nil, reporter.Errorf("ca", reporter.CodeUsage, "%s holds no certificate", s.CAFile)
		}
	}
	if s.CertFile != "" || s.KeyFile != "" {
		pair, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
		if err != nil {
			return nil, reporter.Errorf("cert", reporter.CodeUsage, "%v", err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

// Call is one call of the daemon.
type Call[I, O any] func(ctx context.Context, request *I) (*O, error)

// Calls are the calls of the daemon.
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

// NewCalls returns calls that obtain their client when they are made, since the settings are parsed after the commands
// were constructed.
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
		connected, err := client()
		if err != nil {
			return nil, err
		}
		response, err := call(connected, ctx, connect.NewRequest(request))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	}
}
