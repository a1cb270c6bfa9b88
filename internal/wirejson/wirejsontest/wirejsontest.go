// Package wirejsontest provides JSON with unknown fields for tests of receivers.
package wirejsontest

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// TestingT is the subset of testing.TB that rapid.T implements too.
type TestingT interface {
	Helper()
	Errorf(format string, args ...any)
	Fatal(args ...any)
}

// CaseVariants returns names that differ from name only in the case of their letters, including
// letters outside ASCII that fold to ASCII ones.
func CaseVariants(name string) []string {
	first, rest := name[:1], name[1:]
	candidates := []string{
		strings.ToUpper(name),
		strings.ToLower(name),
		strings.ToUpper(first) + rest,
		strings.NewReplacer("k", "\u212a", "s", "\u017f").Replace(name), // Kelvin sign, long s
	}
	variants := slices.DeleteFunc(candidates, func(variant string) bool { return variant == name })
	slices.Sort(variants)
	return slices.Compact(variants)
}

// AddCaseVariants returns the JSON text with unknown fields added to every object in it. Before and
// after each field stand fields whose names are its CaseVariants. Their values differ from the
// field's, both in type and not. A receiver must decode the result like the text itself.
func AddCaseVariants(t TestingT, text []byte) []byte {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(text)) //nolint:forbidigo // decodes into maps, which have no field names
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		t.Fatal("not JSON:", err, string(text))
	}
	var out bytes.Buffer
	writeWithVariants(t, &out, value)
	return out.Bytes()
}

// CheckIgnored checks that decode accepts the JSON text and returns the same value for it as for the text
// with AddCaseVariants.
func CheckIgnored[T any](t TestingT, text string, decode func(raw []byte) (T, error)) {
	t.Helper()
	want, err := decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(AddCaseVariants(t, []byte(text)))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s with unknown fields: got %+v, error %v, want %+v", text, got, err, want)
	}
}

func writeWithVariants(t TestingT, out *bytes.Buffer, value any) {
	t.Helper()
	switch value := value.(type) {
	case map[string]any:
		writeObject(t, out, value)
	case []any:
		out.WriteByte('[')
		for i, element := range value {
			if i > 0 {
				out.WriteByte(',')
			}
			writeWithVariants(t, out, element)
		}
		out.WriteByte(']')
	default:
		out.Write(encode(t, value))
	}
}

func writeObject(t TestingT, out *bytes.Buffer, fields map[string]any) {
	t.Helper()
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	separator := "{"
	writeName := func(name string) {
		out.WriteString(separator)
		out.Write(encode(t, name))
		out.WriteByte(':')
		separator = ","
	}
	writeVariants := func(name string) {
		for _, variant := range CaseVariants(name) {
			if _, known := fields[variant]; known {
				continue
			}
			writeName(variant)
			out.Write(encode(t, otherValue(fields[name])))
			writeName(variant)
			out.Write(encode(t, valueOfOtherType(fields[name])))
		}
	}
	for _, name := range names {
		writeVariants(name)
		writeName(name)
		writeWithVariants(t, out, fields[name])
		writeVariants(name)
	}
	if separator == "{" {
		out.WriteString(separator)
	}
	out.WriteByte('}')
}

// otherValue returns another value of the same JSON type.
func otherValue(value any) any {
	switch value := value.(type) {
	case string:
		return value + "x"
	case json.Number:
		return 77
	case bool:
		return !value
	case []any:
		return []any{}
	case map[string]any:
		return map[string]any{}
	}
	return 77 // for null
}

// valueOfOtherType returns a value of another JSON type.
func valueOfOtherType(value any) any {
	if _, ok := value.(string); ok {
		return []any{}
	}
	return "x"
}

func encode(t TestingT, value any) []byte {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}
