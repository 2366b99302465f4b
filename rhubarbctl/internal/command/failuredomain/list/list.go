// Package list holds the command "failure-domain list".
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

// Options are the options and dependencies of "failure-domain list".
type Options = lister.Options

// New returns the command. A nil run executes it.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	return lister.New(p, lister.Object{Command: "failure-domain", Plural: "failure domains", Kind: converter.FailureDomain}, run)
}
