package main

import (
	"fmt"
	"log/slog"
	"os"
	"strings"
)

// logLevelEnv is the environment variable that sets the minimum log level.
const logLevelEnv = "LOG_LEVEL"

// newLogger returns a logger that writes to standard error, at the level that logLevelEnv sets
// or at info if it is not set.
func newLogger() (*slog.Logger, error) {
	name := os.Getenv(logLevelEnv)
	var level slog.Level
	switch strings.ToLower(name) {
	case "debug":
		level = slog.LevelDebug
	case "info", "":
		level = slog.LevelInfo
	case "error":
		level = slog.LevelError
	default:
		return nil, usageError{fmt.Errorf("%s: must be error, info or debug, is %q", logLevelEnv, name)}
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}
