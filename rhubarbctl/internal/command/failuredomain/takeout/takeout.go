// Package takeout implements the command "failure-domain take-out".
//
// # Usage
//
//	command := takeout.New(dependencies, nil)
package takeout

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/rhubarbctl/internal/changer"
	"rhubarbtrack.example/rhubarbctl/internal/converter"
	"rhubarbtrack.example/rhubarbctl/internal/dialer"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/prompter"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/registrar"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// pollInterval is the time between two progress checks of --wait.
const pollInterval = time.Second

// TakeOut is the RPC that takes a failure domain out.
type TakeOut = dialer.Call[rhubarbtrackv1.TakeOutFailureDomainRequest, rhubarbtrackv1.TakeOutFailureDomainResponse]

// Options are the options and dependencies of "failure-domain take-out".
type Options struct {
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
	Force     bool          `long:"force" description:"Proceed despite insufficient capacity"`
	Wait      bool          `long:"wait" description:"Wait until all hosts have applied the change and the failure domain owns no slice"`
	WaitLimit time.Duration `long:"wait-limit" default:"10m" description:"Timeout of --wait"`
	Confirm   prompter.Confirm
	Change    changer.Options

	Context        context.Context                                                                        `no-flag:"yes"`
	Streams        *printer.Streams                                                                       `no-flag:"yes"`
	NewOperationID func() string                                                                          `no-flag:"yes"`
	Sleep          func(ctx context.Context, duration time.Duration) error                                `no-flag:"yes"`
	Get            changer.Get                                                                            `no-flag:"yes"`
	TakeOut        TakeOut                                                                                `no-flag:"yes"`
	GetChange      dialer.Call[rhubarbtrackv1.GetChangeRequest, rhubarbtrackv1.GetChangeResponse]         `no-flag:"yes"`
	ListResources  dialer.Call[rhubarbtrackv1.ListResourcesRequest, rhubarbtrackv1.ListResourcesResponse] `no-flag:"yes"`
	ListSlices     dialer.Call[rhubarbtrackv1.ListSlicesRequest, rhubarbtrackv1.ListSlicesResponse]       `no-flag:"yes"`
	run            func(*Options) error
}

// New returns the command. A nil run executes it; a test may pass another run.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	if run == nil {
		run = execute
	}
	return registrar.Command{
		Name:  "take-out",
		Short: "Take a failure domain out of service",
		Long: "Takes a failure domain out of service after a capacity check. It receives no new requests after 4 seconds, and its " +
			"slices move to other failure domains.",
		Examples: []string{
			"$ rhubarbctl failure-domain take-out east",
			"$ rhubarbctl failure-domain take-out east --yes --wait --wait-limit 15m",
			"$ rhubarbctl failure-domain take-out east --force",
		},
		Options: &Options{
			Context:        p.Context,
			Streams:        p.Streams,
			NewOperationID: p.NewOperationID,
			Sleep:          p.Sleep,
			Get:            p.Calls.GetResource,
			TakeOut:        p.Calls.TakeOutFailureDomain,
			GetChange:      p.Calls.GetChange,
			ListResources:  p.Calls.ListResources,
			ListSlices:     p.Calls.ListSlices,
			run:            run,
		},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute([]string) error { return o.run(o) }

func execute(o *Options) error {
	request := &rhubarbtrackv1.GetResourceRequest{Kind: converter.FailureDomain, Name: o.Args.Name}
	current, err := o.Get(o.Context, request)
	if err != nil {
		return err
	}
	if err := o.Confirm.Ask(o.Streams, fmt.Sprintf("Take failure domain %s out of service?", o.Args.Name)); err != nil {
		return err
	}
	response, err := o.TakeOut(o.Context, &rhubarbtrackv1.TakeOutFailureDomainRequest{
		Name:            o.Args.Name,
		Force:           o.Force,
		ExpectedVersion: o.Change.ResolveVersion(current.GetResource()),
		OperationId:     o.Change.ResolveOperationID(o.NewOperationID),
	})
	for _, shortfall := range response.GetShortfalls() {
		_, _ = fmt.Fprintln(o.Streams.Err, "rhubarbctl: overridden by --force: "+printer.Cell(shortfall.GetText()))
	}
	if err == nil && o.Wait {
		err = o.wait()
		if err != nil {
			return err
		}
	}
	return o.Change.Finish(o.Streams, "failure-domain "+o.Args.Name, response.GetResult(), err)
}

// wait polls until the take-out is complete. Only the pauses count against the limit, not the duration of the calls.
func (o *Options) wait() error {
	for waited := time.Duration(0); ; waited += pollInterval {
		pending, err := o.pendingWork()
		if err != nil {
			return errors.Wrap(err, "change accepted, but waiting for its completion failed")
		}
		if pending == "" {
			return nil
		}
		if waited >= o.WaitLimit {
			return reporter.Errorf("wait", reporter.CodeTimeout, "change accepted, but not complete: %s", pending)
		}
		_, _ = fmt.Fprintln(o.Streams.Err, "waiting: "+pending)
		if err := o.Sleep(o.Context, pollInterval); err != nil {
			return err
		}
	}
}

// pendingWork describes the work that is not complete, "" if there is none.
func (o *Options) pendingWork() (string, error) {
	change, err := o.GetChange(o.Context, &rhubarbtrackv1.GetChangeRequest{OperationId: o.Change.OperationID})
	if err != nil {
		return "", err
	}
	rollout := change.GetChange().GetRollout()
	if rollout == nil || rollout.GetHostsInForce() < rollout.GetHosts() {
		return fmt.Sprintf("in force on %d of %d hosts", rollout.GetHostsInForce(), rollout.GetHosts()), nil
	}
	owned, err := o.countOwnedSlices()
	if err != nil || owned == 0 {
		return "", err
	}
	return fmt.Sprintf("%d slices are still owned by %s", owned, o.Args.Name), nil
}

// countOwnedSlices returns the number of slices that the upstreams of the failure domain own.
func (o *Options) countOwnedSlices() (int, error) {
	all, err := o.ListResources(o.Context, &rhubarbtrackv1.ListResourcesRequest{})
	if err != nil {
		return 0, err
	}
	keyed := map[string]bool{}
	for _, resource := range all.GetResources() {
		// If the command retries an earlier change, the failure domain may have been brought back in the meantime. Its
		// slices would then never move away.
		if domain := resource.GetFailureDomain(); domain.GetName() == o.Args.Name && !domain.GetTakenOut() {
			return 0, reporter.Errorf("wait", reporter.CodeConflict, "failure domain %s was brought back", o.Args.Name)
		}
		if service := resource.GetService(); service.GetKeyed() {
			keyed[service.GetName()] = true
		}
	}
	owned := 0
	for _, resource := range all.GetResources() {
		upstream := resource.GetUpstream()
		if upstream.GetFailureDomain() != o.Args.Name || !keyed[upstream.GetService()] {
			continue
		}
		request := &rhubarbtrackv1.ListSlicesRequest{Service: upstream.GetService(), Owner: converter.Name(resource)}
		slices, err := o.ListSlices(o.Context, request)
		if err != nil {
			return 0, err
		}
		owned += len(slices.GetSlices())
	}
	return owned, nil
}
