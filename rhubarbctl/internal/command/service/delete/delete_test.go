package delete_test

import (
	"testing"

	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/command/service/delete"
	"rhubarbtrack.example/rhubarbctl/internal/converter"
	"rhubarbtrack.example/rhubarbctl/internal/provider"
)

// The delete commands share one implementation. A wrong kind deletes another object of the same name.
func TestDelete(t *testing.T) {
	var got *delete.Options
	command := delete.New(&provider.Provider{}, func(o *delete.Options) error {
		got = o
		return nil
	})
	_, err := flags.ParseArgs(command.Options, []string{"shelf-marks", "--yes"})
	assert.NilError(t, err)
	assert.NilError(t, command.Options.Execute(nil))
	assert.Equal(t, got.Args.Name, "shelf-marks")
	assert.Equal(t, got.Kind, converter.Service)
	assert.Assert(t, got.Confirm.Yes)
}
