// Package eventlog writes the numbered log events of the daemon.
//
// Every event has a fixed number, name and level, so that operators can search and alert on numbers. A number is never
// used for a second event. docs/events.md is generated from the catalogue by script/events, and a test compares them.
//
// # Usage
//
//	logger := eventlog.New(zapLogger)
//	logger.Log(eventlog.StoreUnavailable, zap.Error(err))
package eventlog

import (
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one kind of log event.
type Event struct {
	Number  int
	Name    string // in kebab case; the message of the log line
	Level   zapcore.Level
	Meaning string // for docs/events.md
}

// Catalogue lists all events in the order of their numbers.
var Catalogue []Event

func register(number int, name string, level zapcore.Level, meaning string) Event {
	event := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	Catalogue = append(Catalogue, event)
	return event
}

// Events of the process.
var (
	DaemonStarted  = register(100, "daemon-started", zap.InfoLevel, "The daemon listens on all its addresses.")
	DaemonStopping = register(101, "daemon-stopping", zap.InfoLevel, "Shutdown has begun: the host reports itself not ready and finishes requests in flight.")
	DaemonStopped  = register(102, "daemon-stopped", zap.InfoLevel, "Shutdown has finished: the listeners are closed, and all requests have ended or were cancelled.")
	SettingsFailed = register(103, "settings-failed", zap.ErrorLevel, "The settings cannot be read or are invalid; all errors are listed.")
	ListenFailed   = register(104, "listen-failed", zap.ErrorLevel, "A listener could not be opened or failed.")
	TLSReloaded    = register(105, "tls-reloaded", zap.InfoLevel, "The TLS certificate, key and certificate authority were reloaded.")
	TLSFailed      = register(106, "tls-reload-failed", zap.ErrorLevel, "The TLS files could not be read; the previous certificates stay in use.")

	PanicRecovered = register(107, "panic-recovered", zap.ErrorLevel, "A panic ended the request, message or connection that the field task names; the process goes on.")
)

// Events of the store.
var (
	StoreUnavailable = register(200, "store-unavailable", zap.WarnLevel, "A call to the store failed; the daemon continues with its last known state.")
	StoreAvailable   = register(201, "store-available", zap.InfoLevel, "The store is available again.")
	WatchCompacted   = register(202, "watch-compacted", zap.InfoLevel, "The store has compacted the revision of a watch; all objects are listed again.")
	ObjectRefused    = register(203, "object-refused", zap.ErrorLevel, "A configuration object cannot be decoded; its previous version stays in use.")
	AccountsSkipped  = register(204, "accounts-skipped", zap.ErrorLevel, "Client accounts of a version of the configuration cannot be decoded and are left out; their keys are rejected. The field reason is that of the first one.")
	StoreReverted    = register(205, "store-reverted", zap.WarnLevel, "The store has come back from a copy of itself and is of a later generation; what was written last is lost.")
)

// Events of hosts and the relay tree.
var (
	PeerConnected    = register(300, "peer-connected", zap.InfoLevel, "A connection to another host was opened.")
	PeerDisconnected = register(301, "peer-disconnected", zap.InfoLevel, "A connection to another host was closed.")
	PeerRefused      = register(302, "peer-refused", zap.WarnLevel, "A connecting process could not be authenticated as a host.")
	FrameRefused     = register(303, "frame-refused", zap.WarnLevel, "A message from another host could not be decoded.")
	QueueOverflow    = register(304, "ring-overflow", zap.WarnLevel, "A bounded queue between two goroutines was full; the message was dropped.")
)

// Events of ownership.
var (
	TakeoverStarted    = register(400, "takeover-started", zap.InfoLevel, "This host became a candidate for controller of a service.")
	ControllerActive   = register(401, "controller-active", zap.InfoLevel, "This host is the controller of a service.")
	ControllerLost     = register(402, "controller-lost", zap.WarnLevel, "This host lost the lease as controller of a service.")
	OrderRefused       = register(403, "order-refused", zap.WarnLevel, "An upstream rejected an order.")
	SliceMoved         = register(404, "slice-moved", zap.InfoLevel, "A slice has a new owner.")
	ControllerDecision = register(405, "controller-note", zap.InfoLevel, "The controller made a decision; the fields describe it.")
	TableRefused       = register(406, "table-refused", zap.ErrorLevel, "An ownership table could not be decoded; its previous version stays in use.")
	ElectionProgress   = register(407, "election-note", zap.InfoLevel, "The election of a controller made progress; the field code contains the step.")

	TableTakeoverStarted  = register(410, "table-takeover-started", zap.InfoLevel, "A new controller requests the held slices from all upstreams.")
	TableTakeoverFinished = register(411, "table-takeover-finished", zap.InfoLevel, "A new controller has determined the owner of every slice.")
	UpstreamRestarted     = register(412, "upstream-restarted", zap.WarnLevel, "An upstream has a new incarnation; the grants of the previous one are void.")
	UpstreamExpired       = register(413, "upstream-expired", zap.WarnLevel, "All grants of an unresponsive upstream have expired.")
	UpstreamReturned      = register(414, "upstream-returned", zap.InfoLevel, "An unresponsive upstream responds again.")
	MoveStarted           = register(415, "move-started", zap.InfoLevel, "A slice is being moved to another upstream.")
	ExcessRevoked         = register(416, "excess-revoked", zap.WarnLevel, "An upstream held a slice that is assigned to another one; its grant was revoked.")
	AssignedProvisionally = register(417, "assigned-provisionally", zap.WarnLevel, "A slice of a lost upstream was reassigned while the store is unavailable.")
	AdmissionAssigned     = register(418, "admission-assigned", zap.InfoLevel, "The admission of requests to an upstream was assigned to a host.")
	AdmissionExpired      = register(419, "admission-expired", zap.WarnLevel, "The admission lease of an unresponsive host has expired.")
	ControllerSuperseded  = register(420, "controller-superseded", zap.WarnLevel, "An upstream or the store has a higher term; this controller resigns.")
)

// Events of requests. They are sampled, because an outage produces many of them.
var (
	RequestRefused  = register(500, "request-refused", zap.DebugLevel, "A request was rejected; it has not run.")
	RequestUnknown  = register(501, "request-unknown", zap.WarnLevel, "The outcome of a request is unknown.")
	ResponseAborted = register(502, "response-aborted", zap.WarnLevel, "A response was truncated; the connection to the caller was closed.")
	RequestBlocked  = register(503, "request-condemned", zap.ErrorLevel, "A request crashed several upstreams, or one while no other request ran there; it is rejected from now on.")
	AdmissionGained = register(504, "admission-gained", zap.InfoLevel, "This host admits requests to an upstream.")
	AdmissionLost   = register(505, "admission-lost", zap.InfoLevel, "This host no longer admits requests to an upstream.")
	UpstreamCold    = register(506, "upstream-cold", zap.WarnLevel, "An upstream became cold; its load is ramped up again.")
	UpstreamCrashed = register(507, "upstream-crashed", zap.WarnLevel, "An upstream closed connections unexpectedly or restarted as a new incarnation.")
)

// Events of failure domains and cleaning windows.
var (
	DomainTakenOut     = register(550, "domain-taken-out", zap.InfoLevel, "A cleaning window takes a failure domain out of service.")
	DomainEmptied      = register(551, "domain-emptied", zap.InfoLevel, "A failure domain that is out of service has no slices and no admission left.")
	DomainReturning    = register(552, "domain-returning", zap.InfoLevel, "A failure domain is put back into service.")
	DomainReturned     = register(553, "domain-returned", zap.InfoLevel, "All upstreams of a returned failure domain are warm.")
	WindowLate         = register(554, "window-late", zap.WarnLevel, "A cleaning window has started, but its failure domain is not empty.")
	WindowOverCapacity = register(555, "window-exceeded", zap.WarnLevel, "A cleaning window is not carried out, because the other failure domains have too little capacity.")
	WindowBlocked      = register(556, "window-blocked", zap.WarnLevel, "A cleaning window is not carried out, because another failure domain is out of service.")
	WindowZoneUnknown  = register(557, "window-unreadable", zap.ErrorLevel, "The time zone of a cleaning window is unknown; the window cannot be carried out.")
	SchedulerFailed    = register(558, "planner-failed", zap.WarnLevel, "The planner could not read or write the store; it retries.")
)

// Events of operators.
var (
	OperatorCall    = register(600, "operator-call", zap.InfoLevel, "An operator changed the configuration.")
	OperatorRefused = register(601, "operator-refused", zap.WarnLevel, "A call of an operator was rejected.")
)

// Events of a daemon that runs with --platform.
var (
	EntryRefused             = register(700, "entry-refused", zap.WarnLevel, "The entry of an upstream is invalid; the upstream is not used.")
	UpstreamListed           = register(701, "upstream-listed", zap.InfoLevel, "An upstream has registered, restarted or begun to drain.")
	UpstreamRemoved          = register(702, "upstream-removed", zap.InfoLevel, "The entry of an upstream was removed.")
	ConfigurationChanged     = register(703, "configuration-changed", zap.InfoLevel, "This host applied a version of the configuration; the field age contains the time since its former version was last known to be the newest, transfer the time in which the bytes arrived, decoding that after it.")
	SettingsReloaded         = register(704, "settings-reloaded", zap.InfoLevel, "The settings file was reloaded.")
	LogLinesDropped          = register(705, "log-lines-dropped", zap.WarnLevel, "Log lines were dropped, because the output was too slow.")
	RelayLate                = register(706, "relay-late", zap.InfoLevel, "Heartbeats of the controller begin to arrive late; the field age contains the longest time for which this one may have been in transit.")
	RelayInTime              = register(707, "relay-in-time", zap.InfoLevel, "Heartbeats of the controller no longer arrive late.")
	ConfigurationFetchFailed = register(708, "configuration-fetch-failed", zap.WarnLevel, "The store did not return the configuration in time, and the controller did not either; both are asked again.")
	ConfigurationAnnounced   = register(709, "configuration-announced", zap.InfoLevel, "The controller has a newer version of the configuration than this host has applied.")
	LeadershipGained         = register(710, "leadership-gained", zap.InfoLevel, "This host became the controller of the given term.")
	LeadershipLost           = register(711, "leadership-lost", zap.WarnLevel, "This host is no longer the controller.")
	LeadershipLapsed         = register(712, "leadership-lapsed", zap.WarnLevel, "The controller could not renew its lease in time; it sends no orders.")
	LeadershipRegained       = register(713, "leadership-regained", zap.InfoLevel, "The controller renewed its lease after it had lapsed.")
	LeaderFollowed           = register(714, "leader-followed", zap.InfoLevel, "This host connected to a controller and reports to it.")
	LeaderDisconnected       = register(715, "leader-silent", zap.WarnLevel, "The connection to the controller was lost.")
	RangeMoved               = register(716, "range-moved", zap.InfoLevel, "The controller assigned a range of keys to another owner; the field reason contains the cause.")
	OrderFailed              = register(717, "order-failed", zap.WarnLevel, "An upstream did not carry out an order.")
	TableCommitted           = register(718, "table-committed", zap.InfoLevel, "A new version of the ownership table was written to the store.")
	TableCommitFailed        = register(719, "table-commit-failed", zap.WarnLevel, "The ownership table could not be written to the store; the write is retried.")
	TableReceived            = register(720, "table-received", zap.DebugLevel, "This host received changes of the ownership table from the controller.")
	RecordWriteFailed        = register(721, "record-write-failed", zap.WarnLevel, "The lease record of the controller could not be written to the store.")
	RelayFollowed            = register(722, "relay-followed", zap.InfoLevel, "This host receives changes of the store from the controller instead of the store.")
	RelayLost                = register(723, "relay-lost", zap.InfoLevel, "The controller's copy of the store is out of date; this host reads the store itself.")
	OrderDone                = register(724, "order-done", zap.InfoLevel, "An upstream carried out an order that changes the owner of a range, or the fence or lifetime of its grant.")
	UpstreamStopped          = register(725, "upstream-ended", zap.WarnLevel, "Another process responded to an order at the address of an upstream: the upstream has stopped and owns no keys.")
	HostLost                 = register(726, "host-lost", zap.WarnLevel, "A host no longer reports to the controller, or its report could not be decoded.")
	HostNotNotified          = register(727, "host-not-told", zap.InfoLevel, "The new controller could not announce itself to a host that has not connected; it retries.")
	BlockedWriteFailed       = register(728, "blocked-write-failed", zap.WarnLevel, "A request that crashes upstreams could not be written to the store, or an expired one could not be removed; a failed write is retried.")
	UpstreamDraining         = register(729, "upstream-draining", zap.InfoLevel, "This host found that an upstream drains; the field age contains the longest time for which it may have been draining.")
	RequestEnded             = register(730, "request-ended", zap.InfoLevel, "The response of an upstream was returned to the caller.")
	RequestAttempted         = register(731, "request-attempted", zap.InfoLevel, "An attempt at an upstream failed.")
	RequestRejected          = register(732, "request-rejected", zap.InfoLevel, "The host itself responded to a request, or abandoned it; the field reason contains the cause.")
	RequestUnreadable        = register(733, "request-unreadable", zap.InfoLevel, "A request was rejected before it was routed.")
	AcceptFailed             = register(734, "accept-failed", zap.ErrorLevel, "A connection of a caller could not be accepted; further failures are not logged until one is accepted.")
	UpstreamLeaving          = register(735, "upstream-leaving", zap.InfoLevel, "An upstream said in a response that it shuts down; it is avoided, and gets no new requests after the drain delay.")
	UpstreamPaused           = register(736, "upstream-paused", zap.InfoLevel, "An upstream rejected a request and asked for a pause; this host sends it nothing until then.")
	UpstreamSuspected        = register(737, "upstream-suspected", zap.WarnLevel, "An upstream refused connections from nearly all hosts, or failed all orders for too long; its keys get no requests, and no other owner until its grants have expired.")
	UpstreamKept             = register(738, "upstream-kept", zap.InfoLevel, "The entry of an upstream is missing shortly after an outage of the store; unless the upstream registers again, this host uses it for the time in the field left.")
	UpstreamDropped          = register(739, "upstream-dropped", zap.InfoLevel, "This host no longer uses an upstream, because its entry is missing from the store, or from the controller's copy.")
	HostIsolated             = register(740, "host-isolated", zap.WarnLevel, "This host receives nothing from the controller or the store and cannot reach most upstreams; it reports itself not ready.")
	HostReconnected          = register(741, "host-reconnected", zap.InfoLevel, "This host is no longer isolated.")
	KeysSuspended            = register(742, "keys-suspended", zap.WarnLevel, "This host cannot confirm its configuration any more and accepts no keys of client accounts; the field age contains the time since the last confirmation.")
	KeysAccepted             = register(743, "keys-accepted", zap.InfoLevel, "This host accepts keys of client accounts again.")
	UpstreamWarming          = register(744, "upstream-warming", zap.InfoLevel, "This host found that an upstream is cold; the field left contains the time until it is warm.")
	LeadershipHandedOver     = register(750, "leadership-handed-over", zap.InfoLevel, "The controller hands its role over to a fitter host, because its own link or processor does not suffice.")
	ControllerStarved        = register(751, "controller-starved", zap.WarnLevel, "The link or the processor of the controller does not suffice for its messages; it sends fewer load reports, then fewer run times and changes of tables.")
	ControllerSufficient     = register(752, "controller-sufficient", zap.InfoLevel, "Link and processor of the controller suffice again for all its messages.")
	RelayResumed             = register(753, "relay-resumed", zap.InfoLevel, "This host has the copy of the store that the new controller has, and gets only changes of it.")
	RecoveryStarted          = register(754, "recovery-started", zap.WarnLevel, "The new controller has no ownership table of the present generation of the store; upstreams release all keys that they do not own by the latest table that it has.")
	RecoveryEnded            = register(755, "recovery-ended", zap.InfoLevel, "No other upstreams than the owners hold grants; the field expired is set if some did not respond until these had expired.")
	DomainOverloaded         = register(760, "domain-overloaded", zap.InfoLevel, "Requests of a service leave the failure domain of this host, because they are served sooner elsewhere; the field share is the highest share over the sizes of messages.")
	DomainSufficient         = register(761, "domain-sufficient", zap.InfoLevel, "All requests of a service stay in the failure domain of this host again.")
)

// Events of the limits of client accounts.
var (
	AccountLimited = register(770, "account-limited", zap.InfoLevel, "A client account has reached its limit, and its requests get status 429; logged once in ten seconds for each account.")
	QuotasBegun    = register(771, "quotas-begun", zap.InfoLevel, "This host, the new controller, gives the tokens of client accounts; with more than one recent term it gives none for three seconds.")
)

// maxText bounds texts that may quote bytes from outside, in bytes.
const maxText = 256

// Shorten returns at most the first maxText bytes of a text that may quote bytes from outside.
func Shorten(text string) string {
	if len(text) <= maxText {
		return text
	}
	return strings.ToValidUTF8(text[:maxText], "") + " [truncated]"
}

// Cause returns the log field for an error, without the stack trace that errors of this program contain.
func Cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", Shorten(err.Error()))
}

// Logger writes events. It is safe for concurrent use.
type Logger struct {
	zap *zap.Logger
}

// New returns a logger that writes to z.
func New(z *zap.Logger) *Logger {
	return &Logger{zap: z}
}

// Log writes an event. The message of the line is the name, and the field event is the number.
func (l *Logger) Log(event Event, fields ...zap.Field) {
	if entry := l.zap.Check(event.Level, event.Name); entry != nil {
		entry.Write(append([]zap.Field{zap.Int("event", event.Number)}, fields...)...)
	}
}

// With returns a logger that adds the given fields to its events.
func (l *Logger) With(fields ...zap.Field) *Logger {
	return &Logger{zap: l.zap.With(fields...)}
}
