package completion_test

import (
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/command/completion"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
)

// The script must name the variable that makes go-flags print completions.
func TestCompletion(t *testing.T) {
	var out strings.Builder
	p := &provider.Provider{
		Context:        t.Context(),
		Streams:        &printer.Streams{Out: &out, Err: &out},
		NewOperationID: func() string { return "op-1" },
	}

	verb := completion.New(p, nil)
	_, err := flags.ParseArgs(verb.Options, []string{"zsh"})
	assert.NilError(t, err)
	assert.NilError(t, verb.Options.Execute(nil))
	assert.Assert(t, strings.Contains(out.String(), "GO_FLAGS_COMPLETION=1"))
	_, err = flags.ParseArgs(verb.Options, []string{"csh"})
	assert.NilError(t, err)
	assert.Equal(t, reporter.Code(verb.Options.Execute(nil)), reporter.CodeUsage)
}
