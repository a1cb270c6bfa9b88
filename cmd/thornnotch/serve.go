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

// serveCmd runs a controller node until a signal ends it.
type serveCmd struct {
	settingsFiles
}

// Run carries the command out.
func (c *serveCmd) Run() error {
	settings, operator, err := c.load()
	if err != nil {
		return err
	}
	log, err := newLogger()
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	node.LimitRuntime(settings.Params.MachineLimits)
	network := node.System{Dialer: &net.Dialer{Timeout: constants.DialTimeout}}
	return node.New(settings, operator, network, log).Run(ctx)
}

// untilSignal returns a context that ends when the process is told to end.
func untilSignal() (ctx context.Context, stop context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
