package responder

import (
	"encoding/json"
	"net/http"

	"rhubarbtrack.example/platformsim/internal/lister"
	"rhubarbtrack.example/platformsim/internal/storer"
)

type wireObject struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

type wireList struct {
	Revision uint64       `json:"revision"`
	Objects  []wireObject `json:"objects"`
}

type wireVersion struct {
	Version uint64 `json:"version"`
}

type wireChange struct {
	Type    string `json:"type"`
	Name    string `json:"name,omitempty"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

type wireHost struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
	State         string `json:"state"`
}

type wireHosts struct {
	Hosts []wireHost `json:"hosts"`
}

type stats struct {
	Reads    int `json:"reads"`
	Writes   int `json:"writes"`
	Watches  int `json:"watches"`
	Rejected int `json:"refused"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func encodeObject(object storer.Object) wireObject {
	return wireObject{Name: object.Name, Version: object.Version, Value: object.Value}
}

func encodeList(objects []storer.Object, revision uint64) wireList {
	list := wireList{Revision: revision, Objects: make([]wireObject, 0, len(objects))}
	for _, object := range objects {
		list.Objects = append(list.Objects, encodeObject(object))
	}
	return list
}

func encodeChange(change storer.Change) wireChange {
	kind := "put"
	if change.Deleted {
		kind = "delete"
	}
	return wireChange{Type: kind, Name: change.Object.Name, Version: change.Object.Version, Value: change.Object.Value}
}

func encodeHosts(hosts []lister.Host) wireHosts {
	list := wireHosts{Hosts: make([]wireHost, 0, len(hosts))}
	for _, host := range hosts {
		list.Hosts = append(list.Hosts, wireHost(host))
	}
	return list
}

func decodeHost(host wireHost) lister.Host {
	if host.State == "" {
		host.State = "live"
	}
	return lister.Host(host)
}
