// Package provider holds what the commands depend on. Each command copies the functions that it needs into its options.
//
// # Usage
//
//	dependencies := provider.New(ctx, streams, client)
//	verb := list.New(dependencies, nil)
package provider

import (
	"context"
	"crypto/rand"
	"time"

	"rhubarbtrack.example/rhubarbctl/internal/dialer"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
)

// Provider holds the dependencies.
type Provider struct {
	Context context.Context
	Streams *printer.Streams
	Calls   dialer.Calls
	// NewOperationID returns a new operation id.
	NewOperationID func() string
	// Sleep waits, or returns the error of the context.
	Sleep func(ctx context.Context, duration time.Duration) error
}

// New returns the dependencies of a process.
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
