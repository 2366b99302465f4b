package configurer

const (
	// sliceCount gives each of the six upstreams with keys about ten slices.
	sliceCount  = 64
	connections = 130
)

type wireHost struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
	State         string `json:"state"`
}

type wireRule struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Class  string `json:"class"`
}

type wireService struct {
	Name       string     `json:"name"`
	Keyed      bool       `json:"keyed"`
	KeyHeader  string     `json:"key-header"`
	SliceCount int        `json:"slice-count"`
	Rules      []wireRule `json:"rules"`
}

type wireUpstream struct {
	Name          string `json:"name"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure-domain"`
	Address       string `json:"address"`
	Slots         int    `json:"slots"`
	Connections   int    `json:"connections"`
	ChecksFence   bool   `json:"checks-fence"`
	Drained       bool   `json:"drained"`
}

type wireFailureDomain struct {
	Name     string `json:"name"`
	TakenOut bool   `json:"taken-out"`
}

func encodeHost(host Host) wireHost {
	return wireHost{Name: host.Name, Address: host.Address, FailureDomain: host.FailureDomain, State: "live"}
}

func encodeService(service Service) wireService {
	encoded := wireService{
		Name: service.Name, Keyed: service.Keyed,
		Rules: []wireRule{
			{Method: "GET", Path: "/**", Class: "safe"},
			{Method: "PUT", Path: "/**", Class: "idempotent"},
			{Method: "POST", Path: "/**", Class: "never-repeat"},
		},
	}
	if service.Keyed {
		encoded.KeyHeader = "Rhubarbtrack-Key"
		encoded.SliceCount = sliceCount
	}
	return encoded
}

func encodeUpstream(upstream Upstream) wireUpstream {
	return wireUpstream{
		Name: upstream.Name, Service: upstream.Service, FailureDomain: upstream.FailureDomain, Address: upstream.Address,
		Slots: upstream.Slots, Connections: connections, ChecksFence: upstream.ChecksFence,
	}
}

func encodeFailureDomain(name string, takenOut bool) wireFailureDomain {
	return wireFailureDomain{Name: name, TakenOut: takenOut}
}

func failureDomainName(name string) string {
	return "config/failure-domain/" + name
}
