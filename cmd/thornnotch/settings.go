package main

import (
	"thornnotch/internal/config"
)

// settingsFiles contains the flags for the settings files.
type settingsFiles struct {
	Config   string `required:"" placeholder:"FILE" help:"Platform settings file (TOML)."`
	Operator string `placeholder:"FILE" env:"THORNNOTCH_OPERATOR" help:"Operator settings file (YAML)."`
}

// usageError is an error in arguments, settings or environment, for which the program exits
// with exitUsage.
type usageError struct{ error }

// Unwrap returns the underlying error.
func (e usageError) Unwrap() error { return e.error }

// load reads and checks both settings files.
func (f settingsFiles) load() (*config.Settings, config.Operator, error) {
	settings, err := config.Load(f.Config)
	if err != nil {
		return nil, config.Operator{}, usageError{err}
	}
	operator, err := config.LoadOperator(f.Operator)
	if err != nil {
		return nil, config.Operator{}, usageError{err}
	}
	return settings, operator, nil
}
