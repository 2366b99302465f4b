package encoder_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"rhubarbtrack.example/core/configurator"
	"rhubarbtrack.example/core/encoder"
)

var samples = []struct {
	value configurator.Value
	body  string
}{
	{
		configurator.Service{
			Name: "marks", Keyed: true, KeySegment: 2, SliceCount: 8,
			Rules: []configurator.Rule{{Method: "PUT", Path: "/a/*", Class: configurator.Idempotent}},
		},
		`{"name":"marks","keyed":true,"key-header":"","key-segment":2,"slice-count":8,` +
			`"rules":[{"method":"PUT","path":"/a/*","class":"idempotent"}],"writer":"ana","operation":"op-1"}`,
	},
	{
		configurator.Upstream{
			Name: "p1", Service: "marks", FailureDomain: "east", Address: "10.0.0.1:80", Slots: 6, Connections: 130,
			ChecksFence: true, Drained: true,
		},
		`{"name":"p1","service":"marks","failure-domain":"east","address":"10.0.0.1:80","slots":6,"connections":130,` +
			`"checks-fence":true,"drained":true,"writer":"ana","operation":"op-1"}`,
	},
	{
		configurator.FailureDomain{Name: "east", TakenOut: true},
		`{"name":"east","taken-out":true,"writer":"ana","operation":"op-1"}`,
	},
	{
		configurator.Window{
			Name: "w", FailureDomain: "east", Weekday: time.Tuesday, Start: 9*time.Hour + 5*time.Minute, Length: 90 * time.Minute,
			TimeZone: "Europe/Rome",
		},
		`{"name":"w","failure-domain":"east","weekday":"tuesday","start":"09:05","length-minutes":90,` +
			`"time-zone":"Europe/Rome","writer":"ana","operation":"op-1"}`,
	},
}

// The stored format must not drift, since hosts of different versions share it.
func TestFormat(t *testing.T) {
	origin := configurator.Origin{Writer: "ana", Operation: "op-1"}
	for _, sample := range samples {
		t.Run(sample.value.ObjectName(), func(t *testing.T) {
			body, err := encoder.Encode(sample.value, origin)
			assert.NilError(t, err)
			assert.Equal(t, string(body), sample.body)
			value, from, err := encoder.Decode(sample.value.ObjectName(), body)
			assert.NilError(t, err)
			assert.DeepEqual(t, value, sample.value)
			assert.DeepEqual(t, from, origin)
		})
	}
}

// Unknown fields and bad values must be refused by the name of the field.
func TestDecodeRejects(t *testing.T) {
	cases := []struct {
		object, body string
		kind         encoder.Kind
		field        string
	}{
		{"config/service/a", `{"name":"a","slots":1}`, encoder.UnknownField, "slots"},
		{"config/service/a", `{"rules":[{"verb":"GET"}]}`, encoder.UnknownField, "verb"},
		{"config/service/a", `{"rules":[{"class":"safe"},{"class":"often"}]}`, encoder.BadValue, "rules[1].class"},
		{"config/service/a", `{"slice-count":"8"}`, encoder.BadValue, "slice-count"},
		{"config/service/a", `{"slice-count":1e99}`, encoder.BadValue, "slice-count"},
		{"config/service/a", `[]`, encoder.Malformed, ""},
		{"config/service/a", `null`, encoder.Malformed, ""},
		{"config/service/a", `{} {}`, encoder.Malformed, ""},
		{"config/upstream/a.b", `{"drained":"yes"}`, encoder.BadValue, "drained"},
		{"config/window/w", `{"weekday":"Sunday"}`, encoder.BadValue, "weekday"},
		{"config/window/w", `{"weekday":"sunday","start":"9:05"}`, encoder.BadValue, "start"},
		{"config/window/w", `{"weekday":"sunday","start":"24:00"}`, encoder.BadValue, "start"},
		{"config/window/w", `{"weekday":"sunday","start":"09:05","length-minutes":-1}`, encoder.BadValue, "length-minutes"},
		{"table/a/1", `{}`, encoder.UnknownKind, ""},
	}
	for _, test := range cases {
		t.Run(test.object+" "+test.body, func(t *testing.T) {
			_, _, err := encoder.Decode(test.object, []byte(test.body))
			var typed *encoder.Error
			assert.Assert(t, errors.As(err, &typed))
			assert.Equal(t, typed.Kind, test.kind)
			assert.Equal(t, typed.Field, test.field)
		})
	}
}

// A keyed service without a key rule must use the default header on every host.
func TestDecodeDefaultsKeyHeader(t *testing.T) {
	value, _, err := encoder.Decode("config/service/a", []byte(`{"name":"a","keyed":true,"slice-count":1}`))
	assert.NilError(t, err)
	assert.Equal(t, value.(configurator.Service).KeyHeader, configurator.DefaultKeyHeader)
}

// No input may crash a host, and a valid value must survive the codec unchanged.
func FuzzDecode(f *testing.F) {
	for _, sample := range samples {
		f.Add(sample.value.ObjectName(), []byte(sample.body))
	}
	f.Add("config/service/x", []byte(`{"rules":null}`))
	f.Fuzz(func(t *testing.T, name string, body []byte) {
		value, origin, err := encoder.Decode(name, body)
		if err != nil || value.Validate() != nil {
			return
		}
		again, err := encoder.Encode(value, origin)
		assert.NilError(t, err)
		decoded, from, err := encoder.Decode(value.ObjectName(), again)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, value)
		assert.DeepEqual(t, from, origin)
	})
}
