// Package provider holds the dependencies of the commands. Each command copies the functions that it needs into its
// options, so that tests can replace them.
//
// # Usage
//
//	dependencies := provider.New(ctx, streams, client)
//	command := list.New(dependencies, nil)
package provider

import (
	"context"
	"crypto/rand"
	"time"

	"rhubarbtrack.example/rhubarbctl/internal/dialer"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
)

// Provider holds the dependencies that all commands share.
type Provider struct {
	Context context.Context
	Streams *printer.Streams
	Calls   dialer.Calls
	// NewOperationID returns a random operation ID.
	NewOperationID func() string
	// Sleep waits for the duration, or returns the error of the context if it is done earlier.
	Sleep func(ctx context.Context, duration time.Duration) error
}

// New returns the dependencies for a command line that runs against a daemon.
func New(ctx context.Context, streams *printer.Streams, client func() (dialer.Client, error)) *Provider {
	return &Provider{
		Context:        ctx,
		Streams:        streams,
		Calls:          dialer.NewCalls(client),
		NewOperationID: rand.Text,
		Sleep:          sleep,
	}
}

func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}
