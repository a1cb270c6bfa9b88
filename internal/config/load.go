package config

import (
	"errors"
	"fmt"
	"os"
	"reflect"

	"github.com/BurntSushi/toml"
	"github.com/go-viper/mapstructure/v2"
)

// SyntaxError describes a line of the settings file that is not TOML.
type SyntaxError struct {
	Line    int
	Problem string
}

func (e *SyntaxError) Error() string { return fmt.Sprintf("settings: line %d: %s", e.Line, e.Problem) }

// Load reads and checks a settings file. A line that is not TOML is reported as a *SyntaxError, and a
// value of the wrong type as a *SettingError. If values of the right types are invalid, the error joins
// a *SettingError for each of them.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(string(raw))
}

// Parse decodes and checks the text of a settings file. It reports the same errors as Load.
func Parse(text string) (*Settings, error) {
	settings, err := decode(text)
	if err != nil {
		return nil, err
	}
	if err := settings.check(); err != nil {
		return nil, err
	}
	settings.Params.State = settings.Params.State.withUpcomingSizes()
	return settings, nil
}

// decode decodes the text of a settings file. Names of settings are case-sensitive, as TOML defines
// them, and unknown ones are ignored. The TOML library's own decoder of structs would take "Lease_s"
// for "lease_s", so the library decodes only the syntax.
func decode(text string) (*Settings, error) {
	var table map[string]any
	if err := decodeSyntax(text, &table); err != nil {
		return nil, err
	}
	var settings Settings
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:     &settings,
		TagName:    "toml",
		MatchName:  func(_, _ string) bool { return false }, // asked about names that are not equal
		DecodeHook: mapstructure.DecodeHookFuncKind(rejectTruncation),
	})
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	err = decoder.Decode(table)
	var typeError *mapstructure.DecodeError
	switch {
	case errors.As(err, &typeError):
		return nil, &SettingError{typeError.Name(), typeError.Unwrap().Error()}
	case err != nil:
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &settings, nil
}

// decodeSyntax decodes the text into a table of basic values, arrays and tables.
func decodeSyntax(text string, table *map[string]any) error {
	_, err := toml.Decode(text, table) //nolint:forbidigo // a map has no fields whose names could be confused
	var parseError toml.ParseError
	switch {
	case errors.As(err, &parseError):
		return &SyntaxError{parseError.Position.Line, parseError.Message}
	case err != nil:
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// rejectTruncation is a decoding hook that rejects a floating-point number for an integer setting,
// which would be truncated otherwise.
func rejectTruncation(from, to reflect.Kind, value any) (any, error) {
	if from == reflect.Float64 && to == reflect.Int {
		return nil, fmt.Errorf("must be an integer, is %v", value)
	}
	return value, nil
}
