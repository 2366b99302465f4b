// Package delete holds the command "service delete".
//
// # Usage
//
//	verb := delete.New(dependencies, nil)
package delete

import (
	"rhubarbtrack.example/rhubarbctl/internal/converter"
	"rhubarbtrack.example/rhubarbctl/internal/deleter"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/registrar"
)

// Options are the options and dependencies of "service delete".
type Options = deleter.Options

// New returns the command. A nil run executes it.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	examples := []string{
		"$ rhubarbctl service delete shelf-marks",
		"$ rhubarbctl service delete shelf-marks --yes",
	}
	return deleter.New(p, converter.Service, "Deletes a service that has no upstreams.", examples, run)
}
