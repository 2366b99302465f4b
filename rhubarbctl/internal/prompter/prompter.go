// Package prompter asks for confirmation before a command with a large effect: a deletion, a take-out of a failure
// domain or the application of a file.
//
// # Usage
//
//	if err := options.Confirm.Ask(streams, "Delete service shelf-marks?"); err != nil {
//		return err
//	}
package prompter

import (
	"bufio"
	"fmt"
	"slices"
	"strings"

	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
)

// Confirm holds the confirmation option of a command.
type Confirm struct {
	Yes bool `short:"y" long:"yes" description:"Do not ask for confirmation"`
}

// Ask returns nil if the user confirms or --yes is set. If standard input is not a terminal, --yes is required, so that
// a script never blocks on a prompt.
func (c Confirm) Ask(streams *printer.Streams, question string) error {
	if c.Yes {
		return nil
	}
	if !streams.InTerminal {
		return reporter.Errorf("confirm", reporter.CodeUsage, "--yes is required when standard input is not a terminal")
	}
	_, _ = fmt.Fprintf(streams.Err, "%s [y/N] ", question)
	line, _ := bufio.NewReader(streams.In).ReadString('\n')
	if slices.Contains([]string{"y", "yes"}, strings.ToLower(strings.TrimSpace(line))) {
		return nil
	}
	return reporter.Errorf("confirm", reporter.CodeCancelled, "not confirmed")
}
