package configurator_test

import (
	"strings"

	"github.com/cockroachdb/errors"

	"rhubarbtrack.example/core/configurator"
)

func with[T any](value T, change func(*T)) T {
	change(&value)
	return value
}

func asError(err error, target **configurator.Error) bool {
	return errors.As(err, target)
}

func fieldNames(err error) string {
	var names []string
	for _, field := range configurator.FieldsOf(err) {
		names = append(names, field.Field)
	}
	return strings.Join(names, ",")
}
