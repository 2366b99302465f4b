package operator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/encoder"
	"rhubarbtrack.example/core/slicer"
	rhubarbtrackv1 "rhubarbtrack.example/schema/gen/rhubarbtrack/v1"
)

var prefixes = []struct {
	kind   rhubarbtrackv1.ResourceKind
	prefix string
}{
	{rhubarbtrackv1.ResourceKind_RESOURCE_KIND_SERVICE, configurator.ServicePrefix},
	{rhubarbtrackv1.ResourceKind_RESOURCE_KIND_UPSTREAM, configurator.UpstreamPrefix},
	{rhubarbtrackv1.ResourceKind_RESOURCE_KIND_FAILURE_DOMAIN, configurator.FailureDomainPrefix},
	{rhubarbtrackv1.ResourceKind_RESOURCE_KIND_WINDOW, configurator.WindowPrefix},
}

var classes = []struct {
	domain  configurator.Class
	message rhubarbtrackv1.Class
}{
	{configurator.NeverRepeat, rhubarbtrackv1.Class_CLASS_NEVER_REPEAT},
	{configurator.Idempotent, rhubarbtrackv1.Class_CLASS_IDEMPOTENT},
	{configurator.Safe, rhubarbtrackv1.Class_CLASS_SAFE},
}

// objectName returns the name in the store of the object with this kind and name.
func objectName(kind rhubarbtrackv1.ResourceKind, name string) (string, *Error) {
	for _, entry := range prefixes {
		if entry.kind == kind && name != "" {
			return entry.prefix + name, nil
		}
	}
	if name == "" {
		return "", invalidField("name", "is required")
	}
	return "", invalidField("kind", "is required")
}

// valueOf converts a resource to a value. It does not validate the value.
func valueOf(resource *rhubarbtrackv1.Resource) (configurator.Value, *Error) {
	switch value := resource.GetValue().(type) {
	case *rhubarbtrackv1.Resource_Service:
		return serviceOf(value.Service)
	case *rhubarbtrackv1.Resource_Upstream:
		return upstreamOf(value.Upstream), nil
	case *rhubarbtrackv1.Resource_FailureDomain:
		domain := value.FailureDomain
		return configurator.FailureDomain{Name: domain.GetName(), TakenOut: domain.GetTakenOut()}, nil
	case *rhubarbtrackv1.Resource_Window:
		return windowOf(value.Window)
	}
	return nil, invalidField("resource", "holds none of service, upstream, failure-domain and window")
}

func serviceOf(message *rhubarbtrackv1.Service) (configurator.Value, *Error) {
	service := configurator.Service{
		Name:       message.GetName(),
		Keyed:      message.GetKeyed(),
		KeyHeader:  message.GetKeyHeader(),
		KeySegment: int(message.GetKeySegment()),
		SliceCount: int(message.GetSliceCount()),
	}
	for i, rule := range message.GetRules() {
		class, ok := classOf(rule.GetClass())
		if !ok {
			return nil, invalidField(fmt.Sprintf("rules[%d].class", i), "is required")
		}
		service.Rules = append(service.Rules, configurator.Rule{Method: rule.GetMethod(), Path: rule.GetPath(), Class: class})
	}
	return service.WithDefaults(), nil
}

func classOf(message rhubarbtrackv1.Class) (configurator.Class, bool) {
	for _, entry := range classes {
		if entry.message == message {
			return entry.domain, true
		}
	}
	return configurator.NeverRepeat, false
}

func upstreamOf(message *rhubarbtrackv1.Upstream) configurator.Upstream {
	return configurator.Upstream{
		Name:          message.GetName(),
		Service:       message.GetService(),
		FailureDomain: message.GetFailureDomain(),
		Address:       message.GetAddress(),
		Slots:         int(message.GetSlots()),
		Connections:   int(message.GetConnections()),
		ChecksFence:   message.GetChecksFence(),
		Drained:       message.GetDrained(),
	}
}

func windowOf(message *rhubarbtrackv1.Window) (configurator.Value, *Error) {
	weekday := message.GetWeekday()
	if weekday < rhubarbtrackv1.Weekday_WEEKDAY_MONDAY || weekday > rhubarbtrackv1.Weekday_WEEKDAY_SUNDAY {
		return nil, invalidField("weekday", "is required")
	}
	start, ok := encoder.ParseStart(message.GetStart())
	if !ok {
		return nil, invalidField("start", fmt.Sprintf("%q is not a time of day as HH:MM", message.GetStart()))
	}
	window := configurator.Window{
		Name:          message.GetName(),
		FailureDomain: message.GetFailureDomain(),
		Weekday:       time.Weekday(weekday % 7), // Sunday is 7 in the message and 0 in time
		Start:         start,
		Length:        time.Duration(message.GetLengthMinutes()) * time.Minute,
		TimeZone:      message.GetTimeZone(),
	}
	return window, nil
}

// resourceOf converts a valid value to a resource.
func resourceOf(value configurator.Value, version uint64, origin configurator.Origin) *rhubarbtrackv1.Resource {
	resource := &rhubarbtrackv1.Resource{Version: version, Writer: origin.Writer, OperationId: origin.Operation}
	switch typed := value.(type) {
	case configurator.Service:
		resource.Value = &rhubarbtrackv1.Resource_Service{Service: serviceMessage(typed)}
	case configurator.Upstream:
		resource.Value = &rhubarbtrackv1.Resource_Upstream{Upstream: upstreamMessage(typed)}
	case configurator.FailureDomain:
		domain := &rhubarbtrackv1.FailureDomain{Name: typed.Name, TakenOut: typed.TakenOut}
		resource.Value = &rhubarbtrackv1.Resource_FailureDomain{FailureDomain: domain}
	case configurator.Window:
		resource.Value = &rhubarbtrackv1.Resource_Window{Window: windowMessage(typed)}
	}
	return resource
}

func serviceMessage(service configurator.Service) *rhubarbtrackv1.Service {
	message := &rhubarbtrackv1.Service{
		Name:       service.Name,
		Keyed:      service.Keyed,
		KeyHeader:  service.KeyHeader,
		KeySegment: count(service.KeySegment),
		SliceCount: count(service.SliceCount),
	}
	for _, rule := range service.Rules {
		converted := &rhubarbtrackv1.Rule{Method: rule.Method, Path: rule.Path}
		for _, entry := range classes {
			if entry.domain == rule.Class {
				converted.Class = entry.message
			}
		}
		message.Rules = append(message.Rules, converted)
	}
	return message
}

func upstreamMessage(upstream configurator.Upstream) *rhubarbtrackv1.Upstream {
	return &rhubarbtrackv1.Upstream{
		Name:          upstream.Name,
		Service:       upstream.Service,
		FailureDomain: upstream.FailureDomain,
		Address:       upstream.Address,
		Slots:         count(upstream.Slots),
		Connections:   count(upstream.Connections),
		ChecksFence:   upstream.ChecksFence,
		Drained:       upstream.Drained,
	}
}

func windowMessage(window configurator.Window) *rhubarbtrackv1.Window {
	weekday := rhubarbtrackv1.Weekday(window.Weekday)
	if window.Weekday == time.Sunday {
		weekday = rhubarbtrackv1.Weekday_WEEKDAY_SUNDAY
	}
	return &rhubarbtrackv1.Window{
		Name:          window.Name,
		FailureDomain: window.FailureDomain,
		Weekday:       weekday,
		Start:         encoder.FormatStart(window.Start),
		LengthMinutes: count(int(window.Length / time.Minute)),
		TimeZone:      window.TimeZone,
	}
}

// count converts a number for a message and clamps it to the range of uint32. Numbers in valid values are not negative.
func count(number int) uint32 {
	return uint32(min(max(number, 0), math.MaxUint32))
}

func freshnessOf(view View) *rhubarbtrackv1.Freshness {
	return &rhubarbtrackv1.Freshness{
		Revision:  view.Snapshot.Revision,
		Age:       durationpb.New(view.Age),
		StoreDown: view.StoreDown,
	}
}

func hostMessage(host Host) *rhubarbtrackv1.Host {
	message := &rhubarbtrackv1.Host{
		Name:          host.Name,
		Address:       host.Address,
		FailureDomain: host.FailureDomain,
		State:         rhubarbtrackv1.HostState(host.State),
		Revision:      host.Revision,
		Silence:       durationpb.New(host.SinceHeartbeat),
	}
	for _, role := range host.Roles {
		converted := &rhubarbtrackv1.Role{Kind: rhubarbtrackv1.RoleKind(role.Kind), Subject: role.Subject}
		message.Roles = append(message.Roles, converted)
	}
	return message
}

func sliceMessage(slice slicer.Slice, table *slicer.Table) *rhubarbtrackv1.Slice {
	return &rhubarbtrackv1.Slice{
		Id:            slice.ID,
		Low:           slice.Low,
		HotKey:        slice.HotKey,
		Owner:         slice.Owner,
		Term:          table.Version.Term,
		Epoch:         slice.Epoch,
		AdmissionHost: table.Admission[slice.Owner].Host,
	}
}

func rolloutMessage(rollout Rollout) *rhubarbtrackv1.Rollout {
	lagging := rollout.Lagging
	if len(lagging) > maxLaggingHosts {
		lagging = lagging[:maxLaggingHosts]
	}
	return &rhubarbtrackv1.Rollout{
		Revision:     rollout.Revision,
		Hosts:        count(rollout.Hosts),
		HostsInForce: count(rollout.Applied),
		LaggingHosts: slices.Clone(lagging),
	}
}

func shortfallMessages(shortfalls []Shortfall) []*rhubarbtrackv1.Shortfall {
	var messages []*rhubarbtrackv1.Shortfall
	for _, shortfall := range shortfalls {
		messages = append(messages, &rhubarbtrackv1.Shortfall{
			Service:     shortfall.Service,
			SlotsNeeded: count(shortfall.SlotsNeeded),
			SlotsLeft:   count(shortfall.SlotsLeft),
			Text:        shortfall.Text,
		})
	}
	return messages
}
