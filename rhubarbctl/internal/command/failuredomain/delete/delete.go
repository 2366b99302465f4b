// Package delete holds the command "failure-domain delete".
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

// Options are the options and dependencies of "failure-domain delete".
type Options = deleter.Options

// New returns the command. A nil run executes it.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	examples := []string{
		"$ rhubarbctl failure-domain delete east",
		"$ rhubarbctl failure-domain delete east --yes",
	}
	return deleter.New(p, converter.FailureDomain, "Deletes a failure domain that no upstream and no window refers to.", examples, run)
}
