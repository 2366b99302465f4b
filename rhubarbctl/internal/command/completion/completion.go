// Package completion holds the command "completion".
//
// # Usage
//
//	verb := completion.New(dependencies, nil)
package completion

import (
	"fmt"

	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/registrar"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
)

// The scripts call rhubarbctl with GO_FLAGS_COMPLETION, by which go-flags prints one completion per line.
const (
	bash = `_rhubarbctl() {
	local IFS=$'\n'
	COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
	return 0
}
complete -F _rhubarbctl rhubarbctl
`
	zsh = `#compdef rhubarbctl
_rhubarbctl() {
	local -a items
	items=("${(@f)$(GO_FLAGS_COMPLETION=1 "${words[1]}" "${(@)words[2,$CURRENT]}")}")
	compadd -a items
}
compdef _rhubarbctl rhubarbctl
`
	fish = `function __rhubarbctl
	set -l words (commandline -opc) (commandline -ct)
	GO_FLAGS_COMPLETION=1 $words[1] $words[2..-1]
end
complete -c rhubarbctl -f -a '(__rhubarbctl)'
`
)

var scripts = []struct {
	shell  string
	script string
}{
	{"bash", bash},
	{"zsh", zsh},
	{"fish", fish},
}

// Options are the options and dependencies of "completion".
type Options struct {
	Args struct {
		Shell string `positional-arg-name:"SHELL"`
	} `positional-args:"yes" required:"yes"`

	Streams *printer.Streams `no-flag:"yes"`
	run     func(*Options) error
}

// New returns the command. A nil run executes it.
func New(p *provider.Provider, run func(*Options) error) registrar.Command {
	if run == nil {
		run = execute
	}
	return registrar.Command{
		Name:  "completion",
		Short: "Print a completion script",
		Long:  "Prints the completion script for a shell: bash, zsh or fish.",
		Examples: []string{
			"$ source <(rhubarbctl completion bash)",
			"$ rhubarbctl completion fish > ~/.config/fish/completions/rhubarbctl.fish",
		},
		Options: &Options{Streams: p.Streams, run: run},
	}
}

// Execute implements flags.Commander.
func (o *Options) Execute([]string) error { return o.run(o) }

func execute(o *Options) error {
	for _, entry := range scripts {
		if entry.shell == o.Args.Shell {
			_, err := fmt.Fprint(o.Streams.Out, entry.script)
			return err
		}
	}
	return reporter.Errorf("completion", reporter.CodeUsage, "%q is none of bash, zsh, fish", o.Args.Shell)
}
