package eventlog_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbtrackd/internal/eventlog"
)

// Guards against events that operators cannot look up in docs/events.md, and against a number that is used twice.
func TestCatalogueMatchesDocumentation(t *testing.T) {
	var want strings.Builder
	last := 0
	for _, event := range eventlog.Catalogue {
		assert.Assert(t, event.Number > last, "%s: numbers must increase", event.Name)
		last = event.Number
		fmt.Fprintf(&want, "| %d | %s | %s | %s |\n", event.Number, event.Name, event.Level, event.Meaning)
	}
	page, err := os.ReadFile("../../../docs/events.md")
	assert.NilError(t, err)
	_, got, found := strings.Cut(string(page), "| --- | --- | --- | --- |\n")
	assert.Assert(t, found)
	assert.Equal(t, got, want.String())
}
