// Package wirejson decodes the JSON that the program receives from other programs or reads back
// from the state service.
//
// JSON's field names are case-sensitive, and the protocol requires a receiver to ignore the fields
// that it does not know. The Unmarshal functions of encoding/json and of its replacements also
// accept a field whose name differs from a known one in the case of its letters, and the last such
// field in the text wins. An unknown field "Hall" would then replace the value of "hall". Decode
// matches names exactly; the linter forbids the other decoders.
package wirejson

import (
	"bytes"
	stdjson "encoding/json"
	"errors"

	"github.com/segmentio/encoding/json"

	"thornnotch/internal/constants"
)

// Decode decodes a text that consists of a single JSON value into the value that into points to. A
// field of an object sets the struct field whose tag has exactly the same name; all other fields of
// the object are ignored. In every other respect Decode follows encoding/json: null leaves a value
// unchanged, of several fields with the same name the last one wins, and a text with more nested
// arrays and objects than constants.MaxJSONNesting is not valid. The one known exception is that an
// empty JSON array does not fit a Go array (a slice is no array).
//
// The error is a *TypeError if a value does not fit its Go type, a *TrailingDataError if something
// follows the value, and a *json.SyntaxError of the standard library if raw is not JSON.
func Decode(raw []byte, into any) error {
	if err := checkNesting(raw); err != nil {
		return err
	}
	rest, err := json.Parse(raw, into, json.DontMatchCaseInsensitiveStructFields) //nolint:forbidigo // matches names exactly
	if err == nil && len(rest) == 0 {
		return nil
	}
	return decodeError(rest, err)
}

// decodeError returns the error for a text that can't be decoded. rest is what follows the first value,
// and err is the library's error, or nil if there is only too much text.
func decodeError(rest []byte, err error) error {
	var syntaxError *json.SyntaxError
	if len(rest) > 0 && !errors.As(err, &syntaxError) {
		return &TrailingDataError{First: rest[0]}
	}
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return &TypeError{Path: typeError.Field, Want: typeError.Type}
	}
	return err
}

// checkNesting returns an error if arrays and objects are nested too deeply. The decoder recurses into
// them, also in fields that it ignores, without a limit of its own: a deep text would use much memory
// for the stack. Almost every text is too short for that or has too few brackets.
func checkNesting(raw []byte) error {
	if len(raw) <= constants.MaxJSONNesting {
		return nil
	}
	if bytes.Count(raw, []byte("["))+bytes.Count(raw, []byte("{")) <= constants.MaxJSONNesting {
		return nil
	}
	var value stdjson.RawMessage
	return stdjson.Unmarshal(raw, &value) //nolint:forbidigo // checks the syntax, without recursion, and the nesting
}
