package main

import (
	"thornnotch/internal/config"
	"thornnotch/internal/simulator"
)

// demoCmd runs the simulated services that nodes on the same machine need.
type demoCmd struct {
	Config string            `required:"" placeholder:"FILE" help:"Platform settings file of one of the nodes (TOML)."`
	Nodes  map[string]string `required:"" placeholder:"LABEL=HOST:PORT;..." help:"Listen addresses of the nodes, by label."`
	Lose   float64           `default:"0" placeholder:"FRACTION" help:"Fraction of the state service's write transactions whose response is lost."`
}

// Run executes the command.
func (c *demoCmd) Run() error {
	settings, err := config.Load(c.Config)
	if err != nil {
		return usageError{err}
	}
	log, err := newLogger()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	return simulator.ServeSite(ctx, settings, c.Nodes, c.Lose, log)
}
