// Package prompter asks for confirmation of dangerous commands.
//
// # Usage
//
//	if err := options.Confirm.Ask(streams, "delete service shelf-marks?"); err != nil {
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

// Ask returns nil when the user confirms or has given --yes. Without a terminal, --yes is required, so that a script never
// waits for an answer.
func (c Confirm) Ask(streams *printer.Streams, question string) error {
	if c.Yes {
		return nil
	}
	if !streams.InTerminal {
		return reporter.Errorf("confirm", reporter.CodeUsage, "--yes is required without a terminal")
	}
	_, _ = fmt.Fprintf(streams.Err, "%s [y/N] ", question)
	line, _ := bufio.NewReader(streams.In).ReadString('\n')
	if slices.Contains([]string{"y", "yes"}, strings.ToLower(strings.TrimSpace(line))) {
		return nil
	}
	return reporter.Errorf("confirm", reporter.CodeCancelled, "not confirmed")
}
