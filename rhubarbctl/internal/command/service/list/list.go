// Package list holds the command "service list".
//
// # Usage
//
//	verb := list.New(dependencies, nil)
package list

import (
	"rhubarbtrack.example/rhubarbctl/internal/converter"
	"rhubarbtrack.example/rhubarbctl/internal/lister"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/registrar"
)

// Options are the options and dependencies of "service list".
type Options = lister.Options

// New returns the command. A nil run executes it.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	return lister.New(p, lister.Object{Command: "service", Plural: "services", Kind: converter.Service}, run)
}
