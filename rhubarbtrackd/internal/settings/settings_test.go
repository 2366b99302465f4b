package settings_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbtrack.example/rhubarbtrackd/internal/settings"
)

const valid = `name: host-1
failure-domain: domain-a
caller-listen: 127.0.0.1:8080
peer-listen: 127.0.0.1:8081
operator-listen: 127.0.0.1:8082
platform: http://127.0.0.1:9000
`

// Guards against unknown settings that are ignored, and against reporting only the first fault of a file.
func TestParse(t *testing.T) {
	tests := []struct {
		name    string
		content string
		faults  []string
	}{
		{name: "valid", content: valid},
		{name: "unknown key", content: valid + "colour: red\n", faults: []string{"s.yaml:7: colour: unknown key"}},
		{
			name:    "duplicate key",
			content: valid + "name: host-2\n",
			faults:  []string{"s.yaml:7: name: duplicate key, first in line 1"},
		},
		{
			name:    "several faults at once",
			content: strings.Replace(valid, "127.0.0.1:8080", "localhost", 1) + "request-timeout: 1h\nmax-body-bytes: -1\n",
			faults: []string{
				"s.yaml:3: caller-listen: must be an IP address and a port, such as 127.0.0.1:8080",
				"s.yaml:7: request-timeout: must be a duration between 10ms and 5m0s",
				"s.yaml:8: max-body-bytes: must be an integer between 1 and 1073741824",
			},
		},
		{
			name:    "missing keys",
			content: "name: host-1\n",
			faults: []string{
				"s.yaml: failure-domain: missing",
				"s.yaml: caller-listen: missing",
				"s.yaml: peer-listen: missing",
				"s.yaml: operator-listen: missing",
				"s.yaml: platform: missing",
			},
		},
		{
			name:    "contradiction",
			content: strings.Replace(valid, "127.0.0.1:8082", "0.0.0.0:8082", 1),
			faults:  []string{"s.yaml:5: operator-listen: must be a loopback address without TLS"},
		},
		{
			name:    "same address twice",
			content: strings.Replace(valid, "127.0.0.1:8081", "127.0.0.1:8080", 1),
			faults:  []string{"s.yaml:4: peer-listen: same address as caller-listen"},
		},
		{name: "null value", content: valid + "region:\n", faults: []string{"s.yaml:7: region: must be a single value"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := settings.Parse("s.yaml", []byte(tt.content))
			if len(tt.faults) == 0 {
				assert.NilError(t, err)
				return
			}
			assert.Error(t, err, strings.Join(tt.faults, "\n"))
		})
	}
}

// Guards against a panic on a malformed file.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("a: [1, {b: c}]\n---\nx: |\n  y"))
	f.Fuzz(func(_ *testing.T, content []byte) {
		_, _ = settings.Parse("s.yaml", content)
	})
}
