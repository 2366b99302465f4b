// Package delete holds the command "window delete".
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

// Options are the options and dependencies of "window delete".
type Options = deleter.Options

// New returns the command. A nil run executes it.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	examples := []string{
		"$ rhubarbctl window delete east-weekly",
		"$ rhubarbctl window delete east-weekly --yes",
	}
	return deleter.New(p, converter.Window, "Deletes a cleaning window.", examples, run)
}
