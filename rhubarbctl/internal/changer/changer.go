// Package changer holds what the commands that change something have in common.
//
// # Usage
//
//	operation := options.Change.Start(newOperation)
//	response, err := options.Put(ctx, request)
//	return options.Change.Finish(streams, object, response.GetResult(), err)
package changer

import (
	"context"

	"rhubarbtrack.example/rhubarbctl/internal/dialer"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// Options holds the options of a command that changes one object.
type Options struct {
	ExpectedVersion *uint64 `long:"expected-version" value-name:"N" description:"Refuse the change unless the object has this version (default: the version read)"`
	OperationID     string  `long:"operation-id" value-name:"ID" description:"Repeat an earlier change under its operation id (default: a new one)"`
	Format          printer.Format
}

// Get is the call that reads one object.
type Get = dialer.Call[rhubarbtrackv1.GetResourceRequest, rhubarbtrackv1.GetResourceResponse]

// Current returns the object, or nil when it does not exist.
func Current(ctx context.Context, get Get, kind rhubarbtrackv1.ResourceKind, name string) (
	*rhubarbtrackv1.Resource, error) {
	response, err := get(ctx, &rhubarbtrackv1.GetResourceRequest{Kind: kind, Name: name})
	if reporter.Code(err) == reporter.CodeNotFound {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return response.GetResource(), nil
}

// ResolveOperationID returns the operation id, a new one when the user has given none.
func (c *Options) ResolveOperationID(newOperation func() string) string {
	if c.OperationID == "" {
		c.OperationID = newOperation()
	}
	return c.OperationID
}

// ResolveVersion returns the expected version, the one of the object as read when the user has given none.
func (c *Options) ResolveVersion(current *rhubarbtrackv1.Resource) uint64 {
	if c.ExpectedVersion != nil {
		return *c.ExpectedVersion
	}
	return current.GetVersion()
}

// Finish prints the result of a change, or returns its error.
func (c *Options) Finish(streams *printer.Streams, object string, result *rhubarbtrackv1.ChangeResult, err error) error {
	if err != nil {
		return reporter.ChangeError(err, c.OperationID)
	}
	return c.Format.Print(streams, printer.Table{
		Fields: []string{"object", "version", "operation-id", "repeated"},
		Rows:   [][]any{{object, result.GetVersion(), result.GetOperationId(), result.GetRepeatedChange()}},
		Single: true,
	})
}
