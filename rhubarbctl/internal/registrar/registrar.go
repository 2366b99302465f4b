// Package registrar adds nouns and verbs to the command line.
//
// # Usage
//
//	noun := registrar.Noun{Name: "service", Short: "Services", Verbs: []registrar.Verb{list.New(provider, nil)}}
//	err := noun.Add(parser.Command)
package registrar

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

// Command is one command.
type Command struct {
	Name     string
	Short    string
	Long     string
	Examples []string // each starts with "$ "
	Options  flags.Commander
}

// Group groups the verbs of one kind of object.
type Group struct {
	Name     string
	Short    string
	Commands []Command
}

// Add adds the verb to a noun or to the parser.
func (c Command) Add(parent *flags.Command) error {
	long := c.Long
	if len(c.Examples) > 0 {
		long += "\n\nExamples:\n\n" + strings.Join(c.Examples, "\n")
	}
	_, err := parent.AddCommand(c.Name, c.Short, long, c.Options)
	return errors.Wrapf(err, "command %s", c.Name)
}

// Add adds the noun and its verbs to the parser.
func (g Group) Add(parent *flags.Command) error {
	groupCommand, err := parent.AddCommand(g.Name, g.Short, g.Short+".", &struct{}{})
	if err != nil {
		return errors.Wrapf(err, "noun %s", g.Name)
	}
	for _, command := range g.Commands {
		if err := command.Add(groupCommand); err != nil {
			return err
		}
	}
	return nil
}
