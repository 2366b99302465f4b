package runner

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"
	_ "time/tzdata" // hosts may lack a zone database

	"go.uber.org/zap"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/drainer"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/operator"
	"rhubarbtrack.example/rhubarbtrackd/internal/scheduler"
)

func newScheduler(d *daemon) *scheduler.Scheduler {
	var operations atomic.Uint64
	return scheduler.New(scheduler.Options{
		Host:          d.settings.Name + "-" + d.incarnation,
		IsActive:      d.runsPlanner,
		Config:        d.locator.Config,
		Table:         d.locator.Table,
		DomainOf:      func(host string) string { return d.locator.Members()[host].FailureDomain },
		Demand:        d.demand,
		Get:           d.store.Get,
		Put:           d.store.Put,
		Accepted:      d.operators.accepted,
		Audit:         d.auditPlan,
		Log:           d.log,
		Zones:         time.LoadLocation,
		NextOperation: func() uint64 { return operations.Add(1) },
	})
}

// runsPlanner reports whether this host carries out cleaning windows: it controls the first service by name.
func (d *daemon) runsPlanner() bool {
	first := ""
	for service := range d.locator.Config().Services {
		if first == "" || service < first {
			first = service
		}
	}
	_, controls := d.granter.ControlledServices()[first]
	return controls
}

// demand returns the slots in use of a service, from the latest heartbeat of its controller.
func (d *daemon) demand(service string) float64 {
	heartbeat, _ := d.locator.LastHeartbeat(service)
	return float64(heartbeat.InUse)
}

func (d *daemon) plan(ctx context.Context) {
	if err := d.scheduler.Run(ctx, time.Now()); err != nil {
		d.log.Log(eventlog.SchedulerFailed, zap.Error(err))
	}
}

// planDecisions maps the planner actions that are recorded in the audit trail to the fields of their entries.
var planDecisions = map[drainer.ActionKind]struct {
	call    string
	after   string
	refused bool
}{
	drainer.TakeOut:            {call: "window-take-out", after: "taken-out"},
	drainer.Return:             {call: "window-return", after: "in-service"},
	drainer.WindowOverCapacity: {call: "window-skip", refused: true},
	drainer.WindowBlocked:      {call: "window-skip", refused: true},
	drainer.WindowZoneUnknown:  {call: "window-skip", refused: true},
}

func (d *daemon) auditPlan(action drainer.Action) {
	decision, ok := planDecisions[action.Kind]
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	d.operators.server.RecordDecision(ctx, operator.Decision{
		Writer:  "planner",
		Call:    decision.call,
		Object:  configurator.FailureDomain{Name: action.Domain}.ObjectName(),
		After:   decision.after,
		Refused: decision.refused,
		Problem: problemOf(action),
	})
}

func problemOf(action drainer.Action) string {
	switch action.Kind {
	case drainer.WindowOverCapacity:
		var parts []string
		for _, missing := range action.Shortfalls {
			parts = append(parts, fmt.Sprintf("service %s lacks %d slots", missing.Service, missing.Missing()))
		}
		return "window " + action.Window + ": " + strings.Join(parts, ", ")
	case drainer.WindowBlocked:
		return "window " + action.Window + ": failure domain " + action.Other + " is out of service"
	case drainer.WindowZoneUnknown:
		return "window " + action.Window + ": unknown time zone"
	default:
		return ""
	}
}
