package wirejson

import (
	"fmt"
	"reflect"
)

// TypeError is the error of a JSON value that does not fit the Go type that it is decoded into.
type TypeError struct {
	// Path consists of the names of the fields and the indexes of the array elements that lead to
	// the value, separated by dots. It is empty for the whole text.
	Path string
	// Want is the Go type.
	Want reflect.Type
}

func (e *TypeError) Error() string {
	if e.Path == "" {
		return "must be " + e.WantName()
	}
	return fmt.Sprintf("%s: must be %s", e.Path, e.WantName())
}

// WantName describes the JSON values that fit the Go type, such as "a string".
func (e *TypeError) WantName() string {
	switch e.Want.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "an integer"
	case reflect.Uint64:
		return "an integer of at least 0"
	case reflect.Float64:
		return "a number"
	case reflect.Slice, reflect.Array:
		return "an array"
	}
	return "an object"
}

// TrailingDataError is the error of a text that contains something other than white space after
// its first JSON value.
type TrailingDataError struct {
	// First is the first byte after the value and the white space that follows it.
	First byte
}

func (e *TrailingDataError) Error() string {
	return fmt.Sprintf("invalid character %q after top-level value", e.First)
}
