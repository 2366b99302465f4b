// Package registrar adds commands and command groups to the parser of the command line.
//
// # Usage
//
//	group := registrar.Group{Name: "service", Short: "Services", Commands: []registrar.Command{list.New(provider, nil)}}
//	err := group.Add(parser.Command)
package registrar

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Command describes a command: its help texts, and the options that execute it.
type Command struct {
	Name     string
	Short    string
	Long     string
	Examples []string // each starts with "$ "
	Options  flags.Commander
}

// Group holds the commands for one kind of object.
type Group struct {
	Name     string
	Short    string
	Commands []Command
}

// Add adds the command to a group, or to the top level of the parser.
func (c Command) Add(parent *flags.Command) error {
	long := c.Long
	if len(c.Examples) > 0 {
		long += "\n\nExamples:\n\n" + strings.Join(c.Examples, "\n")
	}
	_, err := parent.AddCommand(c.Name, c.Short, long, c.Options)
	return errors.Wrapf(err, "add command %s", c.Name)
}

// Add adds the group and its commands to the parser.
func (g Group) Add(parent *flags.Command) error {
	groupCommand, err := parent.AddCommand(g.Name, g.Short, g.Short+".", &struct{}{})
	if err != nil {
		return errors.Wrapf(err, "add command group %s", g.Name)
	}
	for _, command := range g.Commands {
		if err := command.Add(groupCommand); err != nil {
			return err
		}
	}
	return nil
}
