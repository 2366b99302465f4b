package runner

import (
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/controller"
	"rhubarbtrack.example/core/detector"
	"rhubarbtrack.example/core/elector"
	"rhubarbtrack.example/core/framer"
	"rhubarbtrack.example/core/relayer"
	"rhubarbtrack.example/core/slicer"
	"rhubarbtrack.example/rhubarbtrackd/internal/chooser"
	"rhubarbtrack.example/rhubarbtrackd/internal/dispatcher"
	"rhubarbtrack.example/rhubarbtrackd/internal/distributor"
	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
	"rhubarbtrack.example/rhubarbtrackd/internal/forwarder"
	"rhubarbtrack.example/rhubarbtrackd/internal/granter"
	"rhubarbtrack.example/rhubarbtrackd/internal/locator"
	"rhubarbtrack.example/rhubarbtrackd/internal/messenger"
	"rhubarbtrack.example/rhubarbtrackd/internal/meter"
	"rhubarbtrack.example/rhubarbtrackd/internal/receiver"
	"rhubarbtrack.example/rhubarbtrackd/internal/securer"
	"rhubarbtrack.example/rhubarbtrackd/internal/settings"
	"rhubarbtrack.example/rhubarbtrackd/internal/storer"
	"rhubarbtrack.example/rhubarbtrackd/internal/suspector"
)

// assemble creates the components of the daemon and connects them. It starts no listeners and no periodic tasks.
func assemble(s settings.Settings, log *eventlog.Logger) (*daemon, error) {
	start := time.Now()
	var secure *securer.Securer
	if s.TLS.Enabled() {
		var err error
		secure, err = securer.New(securer.Files{
			Certificate: s.TLS.Certificate, Key: s.TLS.Key, Authority: s.TLS.Authority,
		})
		if err != nil {
			return nil, err
		}
	}
	transports := transportFactory{secure: secure}
	d := &daemon{
		secure:      secure,
		settings:    s,
		incarnation: newIncarnation(),
		log:         log,
		clock:       func() time.Duration { return time.Since(start) },
		meter:       meter.New(),
		store:       storer.New(s.Platform, transports.transport(8)),
		locator:     locator.New(),
	}
	d.chooser = chooser.New(seedOf(s), d.locator)
	d.messenger = messenger.New(messenger.Options{
		Self:         s.Name,
		Secret:       s.PeerSecret,
		Scheme:       transports.scheme("ws"),
		Verify:       transports.verifyPeer,
		Transport:    transports.transport(0),
		OnConnect:    d.peerConnected,
		OnDisconnect: d.peerDisconnected,
		OnMessage:    d.peerMessage,
		OnRejected:   func(address string) { log.Log(eventlog.PeerRefused, zap.String("address", address)) },
		OnDropped:    func(_ string, class messenger.Class) { d.meter.Dropped("peer-" + string(class)) },
	})
	d.distributor = distributor.New(distributor.Options{
		Self:       d.self(),
		StartTime:  uint64(start.UnixNano()),
		Seed:       treeSeed,
		Clock:      d.clock,
		Dial:       func(peer, address string) { d.messenger.Dial(peer, address, messenger.Relay) },
		Disconnect: func(peer string) { d.messenger.Disconnect(peer, messenger.Relay) },
		Send:       d.sendFrame,
		Deliver:    d.deliver,
		Members:    d.setMembers,
		Dropped:    func() { d.meter.Dropped("distributor") },
		Store:      d.store,
		Log:        log,
	})
	d.suspector = suspector.New(func(report detector.Report) { d.distributor.Publish(suspector.Encode(report)) }, log)
	d.dispatcher = dispatcher.New(dispatcher.Options{
		Self:            s.Name,
		Incarnation:     d.incarnation,
		Clock:           d.clock,
		Transport:       transports.transport(upstreamConnections),
		Scheme:          transports.upstreamScheme(s),
		Upstream:        d.upstream,
		Keyed:           d.keyed,
		SignatureStatus: d.suspector.Status,
		Observe:         d.suspector.Observe,
		StopAnswer:      d.sendStopAnswer,
		LeaseReturned:   d.sendLeaseReturned,
		Report:          d.sendLoad,
		Log:             log,
	})
	d.granter = granter.New(granter.Options{
		Self:                   s.Name,
		Incarnation:            d.incarnation,
		FailureDomain:          s.FailureDomain,
		Seed:                   seedOf(s),
		Clock:                  d.clock,
		Store:                  d.store,
		Transport:              transports.transport(2),
		Scheme:                 transports.upstreamScheme(s),
		Send:                   d.sendControl,
		ApplyLeases:            func(message controller.SendLeases) { d.applyLeases(s.Name, message) },
		PublishTable:           d.publishTable,
		PublishLeaderHeartbeat: d.publishLeaderHeartbeat,
		Dropped:                func(string) { d.meter.Dropped("granter") },
		Log:                    log,
	})
	d.forwarder = forwarder.New(forwarder.Options{
		Self:       s.Name,
		Scheme:     transports.scheme("http"),
		Transport:  transports.transport(peerConnections),
		Authorize:  d.messenger.Authorize,
		Authorized: d.messenger.Authorized,
		Dispatch:   d.dispatcher.Dispatch,
	})
	d.receiver = receiver.New(receiver.Options{
		Clock:          d.clock,
		Locator:        d.locator,
		Forward:        d.forwarder.Forward,
		CountRequest:   d.chooser.CountRequest,
		CountAttempt:   d.chooser.CountAttempt,
		Allow:          d.chooser.Allow,
		Begin:          d.chooser.Begin,
		End:            d.chooser.End,
		HedgeAfter:     d.chooser.HedgeAfter,
		Hedge:          d.chooser.Hedge,
		RecordOutcome:  d.meter.Request,
		Ready:          d.ready,
		RequestTimeout: s.RequestTimeout,
		MaxBody:        s.MaxBody,
		Log:            log,
	})
	d.operators = newOperators(d)
	d.scheduler = newScheduler(d)
	return d, nil
}

// peerHandler routes forwarded requests to forward and all others to peers. It does not use a mux for forwarded paths,
// because http.ServeMux redirects paths that are not clean.
func peerHandler(peers, forward http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/forward/") {
			forward.ServeHTTP(w, r)
			return
		}
		peers.ServeHTTP(w, r)
	})
}

func (d *daemon) peerConnected(peer string, class messenger.Class, outbound bool) {
	d.log.Log(eventlog.PeerConnected, zap.String("peer", peer), zap.String("class", string(class)))
	if class == messenger.Relay {
		d.distributor.Enqueue(relayer.PeerUp{Peer: peer, Outbound: outbound})
	}
}

func (d *daemon) peerDisconnected(peer string, class messenger.Class) {
	d.log.Log(eventlog.PeerDisconnected, zap.String("peer", peer), zap.String("class", string(class)))
	if class == messenger.Relay {
		d.distributor.Enqueue(relayer.PeerDown{Peer: peer})
	}
}

func (d *daemon) peerMessage(peer string, class messenger.Class, data []byte) {
	if class == messenger.Relay {
		frame, err := framer.DecodeFrame(data)
		if err != nil {
			d.log.Log(eventlog.FrameRefused, zap.String("peer", peer), zap.Error(err))
			return
		}
		d.distributor.Enqueue(relayer.Received{Peer: peer, Frame: frame})
		return
	}
	message, err := framer.DecodeMessage(data)
	if err != nil {
		d.log.Log(eventlog.FrameRefused, zap.String("peer", peer), zap.Error(err))
		return
	}
	d.receiveControl(peer, message)
}

func (d *daemon) receiveControl(peer string, message framer.Message) {
	if message.Leases != nil {
		d.applyLeases(peer, *message.Leases)
		return
	}
	d.granter.Receive(peer, message)
}

// applyLeases applies a lease message of a controller. It replies to a query with an immediate heartbeat.
func (d *daemon) applyLeases(from string, message controller.SendLeases) {
	d.dispatcher.ApplyLeases(message)
	if message.Query {
		d.sendHeartbeat(d.clock(), message.Service, from)
	}
}

func (d *daemon) sendFrame(peer string, frame relayer.Frame) {
	data, err := framer.EncodeFrame(frame)
	if err != nil {
		d.log.Log(eventlog.FrameRefused, zap.Error(err))
		return
	}
	d.messenger.Send(peer, messenger.Relay, data)
}

// sendControl sends a control message. It opens a connection if there is none. A message that cannot be sent is
// dropped, because the sender repeats every control message.
func (d *daemon) sendControl(host string, message framer.Message) {
	if host == d.settings.Name {
		d.receiveControl(host, message)
		return
	}
	data, err := framer.EncodeMessage(message)
	if err != nil {
		d.log.Log(eventlog.FrameRefused, zap.Error(err))
		return
	}
	if d.messenger.Send(host, messenger.Control, data) {
		return
	}
	if member, ok := d.locator.Members()[host]; ok {
		d.messenger.Dial(host, member.Address, messenger.Control)
		d.messenger.Send(host, messenger.Control, data)
	}
}

// deliver applies an item from the relay tree to this host.
func (d *daemon) deliver(item relayer.Item) {
	switch item.Kind {
	case relayer.Config:
		d.deliverConfig(item)
	case relayer.Table:
		table, err := framer.DecodeTable(item.Body)
		if err != nil {
			d.log.Log(eventlog.TableRefused, zap.String("service", item.Name), zap.Error(err))
			return
		}
		d.locator.SetTable(&table)
	case relayer.LeaderHeartbeat:
		heartbeat, err := framer.DecodeLeaderHeartbeat(item.Name, item.Body)
		if err != nil {
			d.log.Log(eventlog.FrameRefused, zap.Error(err))
			return
		}
		now := d.clock()
		d.locator.SetHeartbeat(now, heartbeat)
		d.locator.Refresh(now)
	case relayer.Suspect:
		d.suspector.Deliver(d.clock(), item)
	}
}

func (d *daemon) deliverConfig(item relayer.Item) {
	object := configurator.Object{Name: item.Name, Version: item.Version.Seq, Body: item.Body, Deleted: item.Deleted}
	if err := d.locator.MergeConfig(object); err != nil {
		d.log.Log(eventlog.ObjectRefused, zap.String("object", item.Name), zap.Error(err))
		return
	}
	config := d.locator.Config()
	d.granter.SetConfig(config)
	d.distributor.Enqueue(relayer.RevisionApplied{Revision: config.Revision})
}

func (d *daemon) setMembers(members []framer.Member, listed map[string]bool) {
	d.locator.SetMembers(members)
	var hosts granter.Hosts
	for _, member := range members {
		leaving := member.State == framer.Leaving
		if member.State != framer.Dead {
			hosts.Controller = append(hosts.Controller, controller.Host{
				Name: member.Name, FailureDomain: member.FailureDomain, Leaving: leaving,
			})
		}
		if member.State != framer.Dead || listed[member.Name] {
			hosts.Elector = append(hosts.Elector, elector.Host{
				Name: member.Name, FailureDomain: member.FailureDomain, Leaving: leaving,
			})
		}
	}
	d.granter.SetHosts(hosts)
}

// publishTable floods a table to all hosts. It sends a delta to the table that this host has, or the full table if this
// host has none or one of another term.
func (d *daemon) publishTable(service string, a controller.PublishTable) {
	body, err := framer.EncodeTable(a.Table)
	if err != nil {
		d.log.Log(eventlog.TableRefused, zap.String("service", service), zap.Error(err))
		return
	}
	item := relayer.Item{
		Key:     relayer.Key{Kind: relayer.Table, Name: service},
		Version: relayer.Version{Term: a.Table.Version.Term, Seq: a.Table.Version.Seq},
		Body:    body,
	}
	held := d.locator.Table(service)
	if held == nil || held.Version.Term != a.Table.Version.Term {
		d.distributor.Publish(item)
		return
	}
	change, err := framer.EncodeTableDelta(slicer.Diff(held, &a.Table))
	if err != nil {
		d.distributor.Publish(item)
		return
	}
	d.distributor.PublishDelta(item, relayer.Delta{
		Key:  item.Key,
		From: relayer.Version{Term: held.Version.Term, Seq: held.Version.Seq},
		To:   item.Version,
		Body: change,
	})
}

func (d *daemon) publishLeaderHeartbeat(heartbeat framer.LeaderHeartbeat) {
	body, err := framer.EncodeLeaderHeartbeat(heartbeat)
	if err != nil {
		d.log.Log(eventlog.FrameRefused, zap.Error(err))
		return
	}
	d.distributor.Publish(relayer.Item{
		Key:     relayer.Key{Kind: relayer.LeaderHeartbeat, Name: heartbeat.Service},
		Version: relayer.Version{Term: heartbeat.Term, Seq: heartbeat.Seq},
		Body:    body,
	})
}

// sendHeartbeats reports the admission leases of this host to the controllers, which renew them.
func (d *daemon) sendHeartbeats(now time.Duration) {
	for service := range d.locator.Config().Services {
		if heartbeat, ok := d.locator.LastHeartbeat(service); ok {
			d.sendHeartbeat(now, service, heartbeat.Holder)
		}
	}
}

// sendHeartbeat sends a heartbeat to one controller. It must read the term before the leases: if the heartbeat has the
// term of the controller, the controller treats the leases as reported after its takeover.
func (d *daemon) sendHeartbeat(now time.Duration, service, holder string) {
	term := d.dispatcher.Term(service)
	held := d.dispatcher.HeldLeases(now, service)
	if len(held) == 0 && !d.isAdmissionCandidate(service) {
		return
	}
	d.sendControl(holder, framer.Message{Service: service, Heartbeat: &controller.Heartbeat{
		Host:          d.settings.Name,
		Incarnation:   d.incarnation,
		FailureDomain: d.settings.FailureDomain,
		Leaving:       d.leaving(),
		Sent:          now,
		Term:          term,
		Leases:        held,
	}})
}

// isAdmissionCandidate reports whether this host sends heartbeats to the controller of a service although it holds no
// lease. It does if it has an admission role or is one of the hosts that may get one. The number of these hosts is
// bounded, which keeps the work of the controller independent of the number of hosts.
func (d *daemon) isAdmissionCandidate(service string) bool {
	if table := d.locator.Table(service); table != nil {
		for _, admission := range table.Admission {
			if admission.Host == d.settings.Name {
				return true
			}
		}
	}
	return d.locator.IsCandidate(service, d.settings.Name)
}

func (d *daemon) sendStopAnswer(service string, answer controller.StopAnswer) {
	if heartbeat, ok := d.locator.LastHeartbeat(service); ok {
		d.sendControl(heartbeat.Holder, framer.Message{Service: service, StopAnswer: &answer})
	}
}

func (d *daemon) sendLeaseReturned(service string, returned controller.LeaseReturned) {
	if heartbeat, ok := d.locator.LastHeartbeat(service); ok {
		d.sendControl(heartbeat.Holder, framer.Message{Service: service, LeaseReturned: &returned})
	}
}

// sendLoad sends a load report to the controller of the service.
func (d *daemon) sendLoad(service string, report framer.LoadReport) {
	if heartbeat, ok := d.locator.LastHeartbeat(service); ok {
		d.sendControl(heartbeat.Holder, framer.Message{Service: service, Load: &report})
	}
}
