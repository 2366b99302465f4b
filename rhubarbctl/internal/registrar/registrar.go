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
func (v Command) Add(parent *flags.Command) error {
	long := v.Long
	if len(v.Examples) > 0 {
		long += "\n\nExamples:\n\n" + strings.Join(v.Examples, "\n")
	}
	_, err := parent.AddCommand(v.Name, v.Short, long, v.Options)
	return errors.Wrapf(err, "command %s", v.Name)
}

// Add adds the noun and its verbs to the parser.
func (n Group) Add(parent *flags.Command) error {
	command, err := parent.AddCommand(n.Name, n.Short, n.Short+".", &struct{}{})
	if err != nil {
		return errors.Wrapf(err, "noun %s", n.Name)
	}
	for _, verb := range n.Commands {
		if err := verb.Add(command); err != nil {
			return err
		}
	}
	return nil
}
