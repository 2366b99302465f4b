package check_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/command/config/check"
	"rhubarbtrack.example/rhubarbctl/internal/printer"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
	"rhubarbtrack.example/rhubarbctl/internal/reporter"
)

// TestExitCodes checks that scripts can tell findings from a check that could not run.
func TestExitCodes(t *testing.T) {
	const empty = `{"version": 1}`
	tests := []struct {
		name  string
		args  []string
		stdin string
		want  int
	}{
		{"findings", []string{"-"}, empty, reporter.CodeFailed},
		{"cut", []string{"-"}, empty[:5], reporter.CodeFailed},
		{"no file", []string{"missing"}, "", reporter.CodeUsage},
		{"no file to compare with", []string{"-", "--against", "missing"}, empty, reporter.CodeUsage},
		{"unknown field", []string{"-", "--json", "colour"}, empty, reporter.CodeUsage},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out strings.Builder
			p := &provider.Provider{Streams: &printer.Streams{In: strings.NewReader(tt.stdin), Out: &out, Err: &out}}
			command := check.New(p, nil)
			options := command.Options.(*check.Options)
			options.ReadFile = func(string) ([]byte, error) { return nil, errors.New("no such file") }
			_, err := flags.ParseArgs(options, tt.args)
			assert.NilError(t, err)
			assert.Equal(t, reporter.Code(options.Execute(nil)), tt.want, out.String())
		})
	}
}
