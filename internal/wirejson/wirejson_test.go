package wirejson

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"thornnotch/internal/constants"
	"thornnotch/internal/testseed"
	"thornnotch/internal/wirejson/wirejsontest"
)

func TestMain(m *testing.M) { os.Exit(testseed.Main(m, 3000)) }

// message has the kinds of fields that the program's messages and records have.
type message struct {
	embedded
	Name     string            `json:"nameId"`
	Zone     *string           `json:"hall"`
	Count    int               `json:"pieces"`
	Revision uint64            `json:"stamp"`
	Amount   *float64          `json:"ramGb"`
	Spot     bool              `json:"loaners"`
	Types    []string          `json:"rigTypes"`
	Value    json.RawMessage   `json:"v"`
	Nested   []element         `json:"tasks"`
	Split    *element          `json:"split"`
	Bits     []byte            `json:"b"`
	ByName   map[string]member `json:"machines"`
	Done     map[string][]int  `json:"d"`
}

type embedded struct {
	Token uint64 `json:"warrant"`
}

type element struct {
	Task string `json:"piece"`
	Try  uint64 `json:"try"`
}

type member struct {
	Epoch int `json:"h"`
}

const messageText = `{"warrant":41,"nameId":"j-000412","hall":"east","pieces":16,"stamp":412,"ramGb":64.5,"loaners":true,
 "rigTypes":["g8","g4"],"v":[1,"a"],"tasks":[{"piece":"j-1/0","try":2},{"piece":"j-1/1","try":3}],
 "split":{"piece":"p","try":1},"b":"BQAA","machines":{"m-1":{"h":2}},"d":{"j-1":[1,-1]}}`

func decodeMessage(t *testing.T, text string) message {
	t.Helper()
	var decoded message
	if err := Decode([]byte(text), &decoded); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return decoded
}

// TestFieldNamesAreCaseSensitive checks that fields whose names differ from known ones only in the
// case of their letters have no effect, wherever they stand and whatever their values are.
func TestFieldNamesAreCaseSensitive(t *testing.T) {
	want := decodeMessage(t, messageText)
	if want.Token != 41 || *want.Zone != "east" || want.Nested[1].Try != 3 || want.ByName["m-1"].Epoch != 2 {
		t.Fatalf("decoded %+v", want)
	}
	// A map's keys are data, not field names, so the maps are left out.
	text, _, _ := strings.Cut(messageText, `,"machines"`)
	want.ByName, want.Done = nil, nil
	got := decodeMessage(t, string(wirejsontest.AddCaseVariants(t, []byte(text+"}"))))
	// A raw value is kept as it is written.
	want.Value, got.Value = nil, nil
	if !reflect.DeepEqual(got, want) {
		t.Errorf("with unknown fields: got %+v, want %+v", got, want)
	}
	if got := decodeMessage(t, strings.ReplaceAll(strings.ToUpper(messageText), "TRUE", "true")); !reflect.DeepEqual(got, message{}) {
		t.Errorf("with unknown fields only: got %+v", got)
	}
}

// TestDecodeMatchesStandardLibrary checks that Decode accepts the same texts as encoding/json and
// decodes them to the same values if no field name differs from a known one in case only.
func TestDecodeMatchesStandardLibrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := []byte(messageText)
		for range rapid.IntRange(1, 3).Draw(t, "changes") {
			raw = drawChange(t, raw)
		}
		compareWithStandardLibrary(t, raw)
	})
}

// compareWithStandardLibrary checks that Decode and encoding/json both reject the text or decode it to the
// same message.
func compareWithStandardLibrary(t rapid.TB, raw []byte) {
	t.Helper()
	var got, want message
	err, standardErr := Decode(raw, &got), json.Unmarshal(raw, &want) //nolint:forbidigo // compared with Decode
	if (err == nil) != (standardErr == nil) {
		t.Fatalf("%q: error %v, encoding/json error %v", raw, err, standardErr)
	}
	if err == nil && !reflect.DeepEqual(got, want) {
		t.Fatalf("%q: decoded %+v, encoding/json decoded %+v", raw, got, want)
	}
}

// FuzzDecode compares Decode with encoding/json on any text in which no field name differs from a known
// one in case only. Without -fuzz it decodes only the texts added here.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(messageText))
	for _, text := range []string{``, ` {}`, `null`, `{"v":null,"\u0068all":"a\ud800"}`, `{"machines":{"Hall":{"h":1}},"x":[{}]}`, `{"try":01}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if hasNameOfOtherCase(raw) {
			t.Skip()
		}
		compareWithStandardLibrary(t, raw)
	})
}

// hasNameOfOtherCase reports whether the text contains a string that differs from the name of a field of
// message in case only.
func hasNameOfOtherCase(raw []byte) bool {
	names := []string{
		"warrant", "nameId", "hall", "pieces", "stamp", "ramGb", "loaners", "rigTypes", "v", "tasks", "split", "b", "machines", "d",
		"piece", "try", "h",
	}
	decoder := json.NewDecoder(bytes.NewReader(raw)) //nolint:forbidigo // reads tokens
	for {
		token, err := decoder.Token()
		if err != nil {
			return false
		}
		text, _ := token.(string)
		if slices.ContainsFunc(names, func(name string) bool { return strings.EqualFold(name, text) && name != text }) {
			return true
		}
	}
}

// drawChange truncates the text, replaces a byte or inserts a fragment. It writes no letters of
// field names.
func drawChange(t *rapid.T, raw []byte) []byte {
	at := rapid.IntRange(0, len(raw)-1).Draw(t, "at")
	switch rapid.IntRange(0, 4).Draw(t, "change") {
	case 0:
		return raw[:at+1]
	case 1, 2:
		changed := slices.Clone(raw)
		changed[at] = rapid.SampledFrom([]byte(`{}[]",:0-. \+1`)).Draw(t, "byte")
		return changed
	}
	fragment := rapid.SampledFrom([]string{
		`"x":1,`, `,`, `null`, `{"y":[1,{}]},`, ` `, "\x00", `"`, "\xff", `\u00`, `\ud800`, `1e999`, `-0`, `01`, "\n",
		`"nameId":"j-1",`, `"hall":null,`, `"tasks":[{}],`,
	}).Draw(t, "fragment")
	return slices.Concat(raw[:at], []byte(fragment), raw[at:])
}

// TestDecodeGoArray checks the decoding of an array into a Go array, which is how the log's records hold
// resources: missing elements are zero, and further ones are ignored, as encoding/json does it. Unlike there,
// an empty array is an error; no record has one.
func TestDecodeGoArray(t *testing.T) {
	for text, want := range map[string][3]float64{`[1,2.5,3]`: {1, 2.5, 3}, `[1]`: {1, 0, 0}, `[1,2,3,4]`: {1, 2, 3}} {
		var got [3]float64
		if err := Decode([]byte(text), &got); err != nil || got != want {
			t.Errorf("%s: got %v, error %v", text, got, err)
		}
	}
	if err := Decode([]byte(`[]`), new([3]float64)); err == nil {
		t.Error("an empty array was decoded into a Go array: the exception in the comment of Decode is out of date")
	}
}

// TestDecodeErrors checks the types of the errors.
func TestDecodeErrors(t *testing.T) {
	var syntaxError *json.SyntaxError
	for _, text := range []string{"", " ", "{", `{"nameId"}`, `{"hall":nul}`} {
		if err := Decode([]byte(text), new(message)); !errors.As(err, &syntaxError) {
			t.Errorf("%q: got %v, want a syntax error", text, err)
		}
	}
	var trailing *TrailingDataError
	for _, text := range []string{`{}{}`, `{} x`, `{"pieces":"a"} ,`} {
		if err := Decode([]byte(text), new(message)); !errors.As(err, &trailing) {
			t.Errorf("%q: got %v, want a trailing data error", text, err)
		}
	}
	var typeError *TypeError
	for text, want := range map[string]string{
		`{"pieces":"a"} `:           "pieces: must be an integer",
		`{"pieces":1.5}`:            "pieces: must be an integer",
		`{"hall":1}`:                "hall: must be a string",
		`{"stamp":-1}`:              "stamp: must be an integer of at least 0",
		`{"ramGb":[]}`:              "ramGb: must be a number",
		`{"loaners":1}`:             "loaners: must be true or false",
		`{"tasks":[{},{"try":""}]}`: "tasks.1.try: must be an integer of at least 0",
		`{"rigTypes":{}}`:           "rigTypes: must be an array",
		`{"split":[]}`:              "split: must be an object",
		`[]`:                        "must be an object",
	} {
		if err := Decode([]byte(text), new(message)); !errors.As(err, &typeError) || err.Error() != want {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
}

// TestNestingIsLimited guards against a text whose nested arrays or objects use up the memory for the
// decoder's stack. The limit is that of encoding/json.
func TestNestingIsLimited(t *testing.T) {
	const allowed = constants.MaxJSONNesting - 1 // within the outermost object
	for _, bracket := range []struct{ open, close string }{{"[", "]"}, {`{"x":`, "}"}} {
		nest := func(depth int) []byte {
			inner := strings.Repeat(bracket.open, depth) + "0" + strings.Repeat(bracket.close, depth)
			return []byte(`{"hall":"east","unknown":` + inner + `}`)
		}
		var decoded message
		if err := Decode(nest(allowed), &decoded); err != nil || *decoded.Zone != "east" {
			t.Errorf("%d nested %s: zone %v, error %v", allowed, bracket.open, decoded.Zone, err)
		}
		var syntaxError *json.SyntaxError
		if err := Decode(nest(allowed+1), &decoded); !errors.As(err, &syntaxError) {
			t.Errorf("%d nested %s: error %v, want a syntax error", allowed+1, bracket.open, err)
		}
	}
	// Many brackets that are not nested, or that stand in a string, are allowed.
	flat := `{"unknown":[` + strings.Repeat("[],{},", 2*constants.MaxJSONNesting) + `0],"nameId":"` + strings.Repeat("[{", constants.MaxJSONNesting) + `"}`
	if err := Decode([]byte(flat), new(message)); err != nil {
		t.Errorf("many brackets: %v", err)
	}
}
