package config

import (
	"errors"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// SyntaxError describes a line of the settings file that can't be decoded.
type SyntaxError struct {
	Line    int
	Problem string
}

func (e *SyntaxError) Error() string { return fmt.Sprintf("settings: line %d: %s", e.Line, e.Problem) }

// Load reads and checks a settings file. A line that can't be decoded is reported as a
// *SyntaxError. If values are invalid, the error joins a *SettingError for each of them.
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

func decode(text string) (*Settings, error) {
	var settings Settings
	_, err := toml.Decode(text, &settings)
	var parseError toml.ParseError
	switch {
	case errors.As(err, &parseError):
		return nil, &SyntaxError{parseError.Position.Line, parseError.Message}
	case err != nil:
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &settings, nil
}
