// Command thornnotch is a cluster scheduler: every controller node runs it.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"thornnotch/internal/config"
	"thornnotch/internal/constants"
	"thornnotch/internal/node"
	"thornnotch/internal/simulator"
)

// version is set at release with -ldflags.
var version = "0.1.0-dev"

type cli struct {
	Serve   serveCmd         `cmd:"" default:"withargs" help:"Run a controller node."`
	Check   checkCmd         `cmd:"" help:"Check the settings and report every problem."`
	Job     jobCmd           `cmd:"" help:"Submit, show and cancel jobs."`
	Status  statusCmd        `cmd:"" help:"Show nodes, machines, queue, teams and holds."`
	Demo    demoCmd          `cmd:"" help:"Run stand-ins of the state service, the cloud and its machines on this computer."`
	Version kong.VersionFlag `help:"Print the version."`
}

type files struct {
	Config   string `required:"" placeholder:"FILE" help:"The platform's settings (TOML)."`
	Operator string `placeholder:"FILE" env:"THORNNOTCH_OPERATOR" help:"The operators' own settings (YAML)."`
}

// settingsError ends the program with exit code 2.
type settingsError struct{ error }

func (f files) load() (*config.Settings, config.Operator, error) {
	set, err := config.Load(f.Config)
	if err != nil {
		return nil, config.Operator{}, settingsError{err}
	}
	op, err := config.LoadOperator(f.Operator)
	if err != nil {
		return nil, config.Operator{}, settingsError{err}
	}
	return set, op, nil
}

type serveCmd struct {
	files
}

func (c *serveCmd) Run() error {
	set, op, err := c.load()
	if err != nil {
		return err
	}
	log, err := newLogger(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return settingsError{err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	node.LimitRuntime(set.Params.MachineLimits)
	network := node.System{Dialer: &net.Dialer{Timeout: constants.DialTimeout}}
	return node.New(set, op, network, log).Run(ctx)
}

type checkCmd struct {
	files
	Machines int `default:"0" placeholder:"N" help:"How many machines are to be expected; without it only what no site could do with is named."`
}

func (c *checkCmd) Run() error {
	set, _, err := c.load()
	if err != nil {
		return err
	}
	for _, w := range set.SizingWarnings(max(c.Machines, constants.MinWorkers)) {
		fmt.Println("warning:", w)
	}
	fmt.Println("the settings are good")
	return nil
}

// demoCmd serves what a first run on one computer needs beside the nodes.
type demoCmd struct {
	Config string            `required:"" placeholder:"FILE" help:"The settings of one of the nodes (TOML)."`
	Nodes  map[string]string `required:"" placeholder:"LABEL=HOST:PORT;..." help:"The nodes' users' addresses, by label."`
	Lose   float64           `default:"0" placeholder:"PART" help:"The part of the transactions to the state service whose answer is lost."`
}

func (c *demoCmd) Run() error {
	set, err := config.Load(c.Config)
	if err != nil {
		return settingsError{err}
	}
	log, err := newLogger(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return settingsError{err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return simulator.ServeSite(ctx, set, c.Nodes, c.Lose, log)
}

func newLogger(level string) (*slog.Logger, error) {
	var l slog.Level
	switch strings.ToLower(level) {
	case "debug":
		l = slog.LevelDebug
	case "info", "":
		l = slog.LevelInfo
	case "error":
		l = slog.LevelError
	default:
		return nil, fmt.Errorf("LOG_LEVEL: must be error, info or debug, is %q", level)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l})), nil
}

func main() {
	var c cli
	parser, err := kong.New(&c, kong.Name("thornnotch"),
		kong.Description("A cluster scheduler with speculative slot reservation."),
		kong.UsageOnError(), kong.Vars{"version": version})
	if err != nil {
		panic(err)
	}
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "thornnotch:", err)
		os.Exit(2)
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "thornnotch:", err)
		var se settingsError
		if errors.As(err, &se) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}
