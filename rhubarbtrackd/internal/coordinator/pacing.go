package coordinator

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/allocator"
	"rhubarbtrack.example/core/contender"
	"rhubarbtrack.example/core/identifier"
	"rhubarbtrack.example/core/pacer"
	"rhubarbtrack.example/core/qualifier"
	"rhubarbtrack.example/rhubarbtrackd/internal/connector"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

// tableInterval is the shortest time between two heartbeats that only carry changes of tables. The steps of a move, and moves that
// begin together, follow each other within tens of milliseconds, and one heartbeat to each host carries them all.
const tableInterval = 80 * time.Millisecond

// The names are label values of rhubarbtrack_control_shed_total.
var partNames = map[pacer.Part]string{
	pacer.Tables: "tables", pacer.FullStates: "full-states", pacer.RunTimes: "run-times", pacer.Loads: "loads",
}

// pacing is what a controller sends and how much of it fits.
type pacing struct {
	pacer         *pacer.Pacer
	packer        *connector.Packer // one for all terms, since connections of hosts may outlast a term
	handover      *qualifier.Handover
	handoverEnd   time.Duration               // until when moves may end before this host hands over; 0: it does not hand over
	fitness       map[*connector.Peer]float64 // of the connected hosts
	tablesChanged bool                        // since the last heartbeats with tables
	tablesHeld    bool                        // changes of tables do not fit at present
	lastTables    time.Duration               // time of the last heartbeats with tables
	lastTick      time.Duration
	starved       bool
	begun         time.Duration // time of the beginning of the term
}

func newPacing(now time.Duration, options Options) pacing {
	p := pacing{packer: connector.NewPacker(), fitness: map[*connector.Peer]float64{}}
	p.beginTerm(now, options)
	return p
}

func (p *pacing) beginTerm(now time.Duration, options Options) {
	p.pacer = pacer.New(now, options.LinkRate)
	p.handover, p.handoverEnd = qualifier.NewHandover(options.Fitness), 0
	p.tablesChanged, p.tablesHeld, p.starved, p.begun = false, false, false, now
}

func (p *pacing) observeTick(now time.Duration) {
	if p.lastTick > 0 {
		p.pacer.ObserveDelay(max(0, now-p.lastTick-tickInterval))
	}
	p.lastTick = now
}

// shed records that entries of a part do not fit.
func (c *Coordinator) shed(now time.Duration, part pacer.Part, entries int) {
	c.pacing.pacer.Shed(now)
	c.options.OnShed(partNames[part], entries)
}

// takeLoads returns the load reports that fit into the next heartbeats.
func (c *Coordinator) takeLoads(now time.Duration) []connector.LoadReport {
	limit := math.MaxInt
	if budget := c.pacing.pacer.Budget(now, pacer.Loads); budget < math.MaxInt {
		limit = budget / max(1, len(c.hub.Peers())*connector.PackedLoadBytes)
	}
	loads := c.loads.take(now, func(upstream identifier.Tag) bool {
		u, ok := c.snapshot.Resolve(upstream)
		return ok && c.services[u.Service] != nil
	}, limit)
	if c.loads.withheld > 0 {
		c.shed(now, pacer.Loads, c.loads.withheld)
	}
	return loads
}

// takeRunTimes returns the run times that have changed, or none if they do not fit now.
func (c *Coordinator) takeRunTimes(now time.Duration) map[identifier.Incarnation]time.Duration {
	if c.pacing.pacer.Budget(now, pacer.RunTimes) == 0 {
		c.shed(now, pacer.RunTimes, 1)
		return nil
	}
	return c.profiler.TakeChanges()
}

// beginTables decides whether the next heartbeats carry changes of tables.
func (c *Coordinator) beginTables(now time.Duration) {
	c.pacing.tablesHeld = !c.pacing.pacer.TakeTables(now)
	if c.pacing.tablesHeld {
		c.options.OnShed(partNames[pacer.Tables], 1)
		return
	}
	c.pacing.tablesChanged, c.pacing.lastTables = false, now
}

// sendTables sends changes of tables. Without these heartbeats, hosts would send requests to former owners until the next ones
// are due.
func (c *Coordinator) sendTables(now time.Duration) {
	if !c.pacing.tablesChanged || now < c.pacing.lastTables+tableInterval {
		return
	}
	c.beginTables(now)
	if !c.pacing.tablesHeld {
		c.sendHeartbeats(now, nil)
	}
}

// handoverTime is how long a controller that hands over prepares for that at least: the owners of all keys accept grants of the
// longest lifetime meanwhile. If it is cut off halfway, its lease has to expire before another host takes over, and grants
// of the usual lifetime may expire first.
const handoverTime = grantTimeout + 2*tickInterval

// checkHandover hands the role over to a fitter host if this one runs short of link or processor for some time. As in a
// planned stop, moves end first. If this host stops meanwhile, its lease expires and another host takes over.
func (c *Coordinator) checkHandover(ctx context.Context, now time.Duration) {
	if starved := c.pacing.pacer.Starved(now); starved != c.pacing.starved {
		c.pacing.starved = starved
		event := eventlog.ControllerSufficient
		if starved {
			event = eventlog.ControllerStarved
		}
		c.options.Log.Log(event, zap.Int("hosts", len(c.pacing.fitness)+1), zap.Float64("link-rate", c.options.LinkRate))
	}
	if c.pacing.handoverEnd == 0 {
		fittest := 0.0
		for _, fitness := range c.pacing.fitness {
			fittest = max(fittest, fitness)
		}
		due := c.pacing.handover.Step(now, qualifier.Observation{Starved: c.pacing.starved, Fittest: fittest})
		if !due || c.resigned || !c.hasTakenOver(now) {
			return
		}
		c.pacing.handoverEnd = now + settleTime
		c.options.Log.Log(eventlog.LeadershipHandedOver, zap.Uint64("term", c.contender.Term()),
			zap.Float64("fitness", c.options.Fitness), zap.Float64("fittest", fittest))
	}
	if c.settled(ctx, c.pacing.handoverEnd) && now >= c.pacing.handoverEnd-settleTime+handoverTime {
		c.stepElection(ctx, contender.Resign{Pause: qualifier.HandoverPause})
	}
}

// hasTakenOver reports whether the takeover by this host is complete: it has loaded all tables, and grants of its predecessor have
// expired. It may wait for these grants, and a successor would wait for them anew.
func (c *Coordinator) hasTakenOver(now time.Duration) bool {
	for name, service := range c.snapshot.Config.Services {
		if svc := c.services[name]; service.Keyed && (svc == nil || !svc.loaded) {
			return false
		}
	}
	return c.contender.IsFirstTerm() || now >= allocator.GrantExpiry(c.pacing.begun, c.options.MaxLifetime)
}

// sendResignation informs all hosts that this one has given up the lease, so that they need not wait for missing heartbeats.
func (c *Coordinator) sendResignation() {
	now, peers := c.options.Now(), c.hub.Peers()
	positions := c.hostList.positions(now, peers)
	for _, peer := range peers {
		heartbeat := c.newHeartbeat(now, peer, positions.index[peer], positions.hosts)
		heartbeat.Resigned = true
		c.send(peer, heartbeat)
	}
}
