package main

import (
	"thornnotch/internal/config"
)

// settingsFiles names the files that the settings are read from.
type settingsFiles struct {
	Config   string `required:"" placeholder:"FILE" help:"The platform's settings (TOML)."`
	Operator string `placeholder:"FILE" env:"THORNNOTCH_OPERATOR" help:"The operators' own settings (YAML)."`
}

// settingsError is a fault in settings or environment: it ends the program with
// exitUsage.
type settingsError struct{ error }

// Unwrap returns the fault itself.
func (e settingsError) Unwrap() error { return e.error }

// load reads and checks both files.
func (f settingsFiles) load() (*config.Settings, config.Operator, error) {
	settings, err := config.Load(f.Config)
	if err != nil {
		return nil, config.Operator{}, settingsError{err}
	}
	operator, err := config.LoadOperator(f.Operator)
	if err != nil {
		return nil, config.Operator{}, settingsError{err}
	}
	return settings, operator, nil
}
