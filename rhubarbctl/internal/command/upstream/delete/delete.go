// Package delete holds the command "upstream delete".
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

// Options are the options and dependencies of "upstream delete".
type Options = deleter.Options

// New returns the command. A nil run executes it.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	examples := []string{
		"$ rhubarbctl upstream delete shelf-marks.p1",
		"$ rhubarbctl upstream delete shelf-marks.p1 --yes",
	}
	return deleter.New(p, converter.Upstream, "Deletes an upstream. NAME is <service>.<upstream>. Drain it first.", examples, run)
}
