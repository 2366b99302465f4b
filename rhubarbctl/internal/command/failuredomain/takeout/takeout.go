// Package takeout holds the command "failure-domain take-out".
//
// # Usage
//
//	verb := takeout.New(dependencies, nil)
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

// pollInterval is the time between two looks of --wait.
const pollInterval = time.Second

// TakeOut is the call of the command.
type TakeOut = dialer.Call[rhubarbtrackv1.TakeOutFailureDomainRequest, rhubarbtrackv1.TakeOutFailureDomainResponse]

// Options are the options and dependencies of "failure-domain take-out".
type Options struct {
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
	Force     bool          `long:"force" description:"Proceed despite a shortfall of capacity"`
	Wait      bool          `long:"wait" description:"Wait until the change is in force on all hosts and the failure domain owns no slice"`
	WaitLimit time.Duration `long:"wait-limit" default:"10m" description:"Time limit of --wait"`
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

// New returns the command. A nil run executes it.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	if run == nil {
		run = execute
	}
	return registrar.Command{
		Name:  "take-out",
		Short: "Take a failure domain out of service",
		Long: "Takes a failure domain out of service after a capacity check. It receives no new work after 4 seconds, and its " +
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
		_, _ = fmt.Fprintln(o.Streams.Err, "rhubarbctl: forced despite: "+printer.Cell(shortfall.GetText()))
	}
	if err == nil && o.Wait {
		err = o.wait()
		if err != nil {
			return err
		}
	}
	return o.Change.Finish(o.Streams, "failure-domain "+o.Args.Name, response.GetResult(), err)
}

// wait counts the pauses, not the duration of the calls, against the limit.
func (o *Options) wait() error {
	for waited := time.Duration(0); ; waited += pollInterval {
		remaining, err := o.remaining()
		if err != nil {
			return errors.Wrap(err, "the change was accepted, but its progress could not be read")
		}
		if remaining == "" {
			return nil
		}
		if waited >= o.WaitLimit {
			return reporter.Errorf("wait", reporter.CodeTimeout, "the change was accepted, but %s", remaining)
		}
		_, _ = fmt.Fprintln(o.Streams.Err, "waiting: "+remaining)
		if err := o.Sleep(o.Context, pollInterval); err != nil {
			return err
		}
	}
}

// remaining tells what is left to be done, "" when nothing is.
func (o *Options) remaining() (string, error) {
	change, err := o.GetChange(o.Context, &rhubarbtrackv1.GetChangeRequest{OperationId: o.Change.OperationID})
	if err != nil {
		return "", err
	}
	rollout := change.GetChange().GetRollout()
	if rollout == nil || rollout.GetHostsInForce() < rollout.GetHosts() {
		return fmt.Sprintf("in force on %d of %d hosts", rollout.GetHostsInForce(), rollout.GetHosts()), nil
	}
	owned, err := o.owned()
	if err != nil || owned == 0 {
		return "", err
	}
	return fmt.Sprintf("%d slices are still owned by %s", owned, o.Args.Name), nil
}

// owned returns the number of slices that upstreams of the failure domain own.
func (o *Options) owned() (int, error) {
	all, err := o.ListResources(o.Context, &rhubarbtrackv1.ListResourcesRequest{})
	if err != nil {
		return 0, err
	}
	keyed := map[string]bool{}
	for _, resource := range all.GetResources() {
		// A repeated change may have been undone since, and then its slices would never leave.
		if domain := resource.GetFailureDomain(); domain.GetName() == o.Args.Name && !domain.GetTakenOut() {
			return 0, reporter.Errorf("wait", reporter.CodeConflict, "%s is in service again", o.Args.Name)
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
