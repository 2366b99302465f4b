package printer_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbctl/internal/printer"
)

// Scripts parse the tab-separated and the JSON form, so a change of either breaks them. Control characters in a key
// would inject escape sequences into the operator's terminal.
func TestPrint(t *testing.T) {
	table := printer.Table{
		Fields: []string{"name", "taken-out", "keys"},
		Rows:   [][]any{{"east", true, []string{"a", "b"}}, {"northwest", false, []string{"\x1b[2J\t<"}}},
	}
	cases := []struct {
		name, json string
		terminal   bool
		want       string
	}{
		{"pipe", "", false, "east\ttrue\ta,b\nnorthwest\tfalse\t?[2J?<\n"},
		{"terminal", "", true, "NAME       TAKEN OUT  KEYS\neast       true       a,b\nnorthwest  false      ?[2J?<\n"},
		{"json", "taken-out,name", true, `[
  {
    "name": "east",
    "taken-out": true
  },
  {
    "name": "northwest",
    "taken-out": false
  }
]
`},
		{"unknown field", "name,size", false, `json: unknown field "size", available fields: name,taken-out,keys`},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var out strings.Builder
			err := printer.Format{JSON: test.json}.Print(&printer.Streams{Out: &out, OutTerminal: test.terminal}, table)
			if err != nil {
				assert.Error(t, err, test.want)
				return
			}
			assert.Equal(t, out.String(), test.want)
		})
	}
}
