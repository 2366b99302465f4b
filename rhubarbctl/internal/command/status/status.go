// Package status holds the command "status".
//
// # Usage
//
//	verb := status.New(dependencies, nil)
package status

import (
	"context"
	"fmt"
	"strings"

	"rhubarbtrack.example/rhubarbctl/internal/dialer"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/registrar"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

// maxMoves bounds the moves that are shown one by one.
const maxMoves = 10

// Options are the options and dependencies of "status".
type Options struct {
	Service string `long:"service" value-name:"NAME" description:"Service of --key"`
	Key     string `long:"key" value-name:"KEY" description:"Also tell which upstream owns this key"`
	Format  printer.Format

	Context context.Context                                                                `no-flag:"yes"`
	Streams *printer.Streams                                                               `no-flag:"yes"`
	Get     dialer.Call[rhubarbtrackv1.GetStatusRequest, rhubarbtrackv1.GetStatusResponse] `no-flag:"yes"`
	Owner   dialer.Call[rhubarbtrackv1.GetOwnerRequest, rhubarbtrackv1.GetOwnerResponse]   `no-flag:"yes"`
	run     func(*Options) error
}

// New returns the command. A nil run executes it.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	if run == nil {
		run = execute
	}
	return registrar.Command{
		Name:  "status",
		Short: "Show what is wrong and what is moving",
		Long: "Answers at a glance whether anything is wrong, whether the last change is in force everywhere, what is moving, " +
			"and with --key which upstream owns a key. The exit code is 9 when something is wrong.",
		Examples: []string{
			"$ rhubarbctl status",
			"$ rhubarbctl status --service shelf-marks --key QA76.73",
			"$ rhubarbctl status --json healthy,problems",
		},
		Options: &Options{
			Context: p.Context,
			Streams: p.Streams,
			Get:     p.Calls.GetStatus,
			Owner:   p.Calls.GetOwner,
			run:     run,
		},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute([]string) error { return o.run(o) }

func execute(o *Options) error {
	if (o.Key == "") != (o.Service == "") {
		return reporter.Errorf("status", reporter.CodeUsage, "--key and --service belong together")
	}
	response, err := o.Get(o.Context, &rhubarbtrackv1.GetStatusRequest{})
	if err != nil {
		return err
	}
	var owner *rhubarbtrackv1.Owner
	if o.Key != "" {
		found, err := o.Owner(o.Context, &rhubarbtrackv1.GetOwnerRequest{Service: o.Service, Key: o.Key})
		if err != nil {
			return err
		}
		owner = found.GetOwner()
	}
	reporter.WarnIfStale(o.Streams.Err, response.GetFreshness())
	if err := o.Format.Print(o.Streams, o.table(response, owner)); err != nil {
		return err
	}
	if !response.GetStatus().GetHealthy() {
		return reporter.Errorf("status", reporter.CodeUnhealthy, "%d problems", len(response.GetStatus().GetProblems()))
	}
	return nil
}

// table has one field per answer in JSON, and one line per answer otherwise.
func (o *Options) table(response *rhubarbtrackv1.GetStatusResponse, owner *rhubarbtrackv1.Owner) printer.Table {
	status := response.GetStatus()
	rollout := status.GetLastChange()
	if o.Format.JSON != "" {
		return printer.Table{
			Fields: []string{
				"healthy", "problems", "revision", "hosts-in-force", "lagging-hosts", "hosts-live", "hosts", "moves",
				"upstreams", "upstreams-drained", "failure-domains-taken-out", "owner", "age-seconds", "store-down",
			},
			Rows: [][]any{{
				status.GetHealthy(), problems(status), rollout.GetRevision(), rollout.GetHostsInForce(),
				rollout.GetLaggingHosts(), status.GetHostsLive(), status.GetHosts(), moves(status.GetMoves()),
				status.GetUpstreams(), status.GetUpstreamsDrained(), status.GetFailureDomainsTakenOut(),
				owner.GetSlice().GetOwner(), response.GetFreshness().GetAge().AsDuration().Seconds(),
				response.GetFreshness().GetStoreDown(),
			}},
			Single: true,
		}
	}
	table := printer.Table{Fields: []string{"question", "answer"}}
	add := func(question, format string, args ...any) {
		table.Rows = append(table.Rows, []any{question, fmt.Sprintf(format, args...)})
	}
	if status.GetHealthy() {
		add("wrong", "nothing")
	}
	for _, problem := range problems(status) {
		add("wrong", "%s", problem)
	}
	add("last change", "revision %d in force on %d of %d hosts", rollout.GetRevision(), rollout.GetHostsInForce(),
		rollout.GetHosts())
	add("hosts", "%d of %d live", status.GetHostsLive(), status.GetHosts())
	add("upstreams", "%d, %d drained", status.GetUpstreams(), status.GetUpstreamsDrained())
	if out := status.GetFailureDomainsTakenOut(); len(out) > 0 {
		add("taken out", "%s", strings.Join(out, ","))
	}
	add("moving", "%d slices", len(status.GetMoves()))
	for _, move := range moves(status.GetMoves()[:min(maxMoves, len(status.GetMoves()))]) {
		add("moving", "%s", move)
	}
	if owner != nil {
		slice := owner.GetSlice()
		add("owner", "%s at %s, slice %d, term %d, epoch %d, admitted by %s", orNone(slice.GetOwner()),
			orNone(owner.GetAddress()), slice.GetId(), slice.GetTerm(), slice.GetEpoch(), orNone(slice.GetAdmissionHost()))
	}
	return table
}

func problems(status *rhubarbtrackv1.Status) []string {
	texts := []string{}
	for _, problem := range status.GetProblems() {
		texts = append(texts, problem.GetSubject()+" "+problem.GetText())
	}
	return texts
}

func moves(all []*rhubarbtrackv1.Move) []string {
	texts := []string{}
	for _, move := range all {
		texts = append(texts, fmt.Sprintf("%s slice %d from %s to %s (%s)", move.GetService(), move.GetSlice(),
			orNone(move.GetFrom()), orNone(move.GetTo()), move.GetReason()))
	}
	return texts
}

func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}
