package prompter_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/prompter"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
)

// Only an explicit yes confirms. An empty line, the end of the input or a word that begins with "yes" must not run a
// destructive command.
func TestAsk(t *testing.T) {
	cases := []struct {
		answer   string
		terminal bool
		yes      bool
		code     int
	}{
		{"y\n", true, false, reporter.CodeOK},
		{"Yes\n", true, false, reporter.CodeOK},
		{"\n", true, false, reporter.CodeCancelled},
		{"", true, false, reporter.CodeCancelled},
		{"yesterday\n", true, false, reporter.CodeCancelled},
		{"y\n", false, false, reporter.CodeUsage},
		{"", false, true, reporter.CodeOK},
	}
	for _, test := range cases {
		var prompt strings.Builder
		streams := &printer.Streams{In: strings.NewReader(test.answer), Err: &prompt, InTerminal: test.terminal}
		err := prompter.Confirm{Yes: test.yes}.Ask(streams, "delete?")
		assert.Equal(t, reporter.Code(err), test.code, "%+v", test)
	}
}
