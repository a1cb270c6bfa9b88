package main

import (
	"fmt"
	"log/slog"
	"os"
	"strings"
)

// logLevelVariable is the environment variable with the least level that is logged.
const logLevelVariable = "LOG_LEVEL"

// newLogger makes a logger to standard error at the level that the environment asks
// for: info without one.
func newLogger() (*slog.Logger, error) {
	name := os.Getenv(logLevelVariable)
	var level slog.Level
	switch strings.ToLower(name) {
	case "debug":
		level = slog.LevelDebug
	case "info", "":
		level = slog.LevelInfo
	case "error":
		level = slog.LevelError
	default:
		return nil, settingsError{fmt.Errorf("%s: must be error, info or debug, is %q", logLevelVariable, name)}
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}
