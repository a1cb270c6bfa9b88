package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"

	"thornnotch/internal/constants"
	"thornnotch/internal/node"
)

// serveCmd runs a controller node until it receives a signal.
type serveCmd struct {
	settingsFiles
}

// Run executes the command.
func (c *serveCmd) Run() error {
	settings, operator, err := c.load()
	if err != nil {
		return err
	}
	log, err := newLogger()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	node.LimitRuntime(settings.Params.MachineLimits)
	network := node.OSNetwork{Dialer: &net.Dialer{Timeout: constants.DialTimeout}}
	return node.New(settings, operator, network, log).Run(ctx)
}

// signalContext returns a context that is cancelled by SIGINT or SIGTERM.
func signalContext() (ctx context.Context, stop context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
