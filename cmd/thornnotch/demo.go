package main

import (
	"thornnotch/internal/config"
	"thornnotch/internal/simulator"
)

// demoCmd serves what a first run on one computer needs beside the nodes.
type demoCmd struct {
	Config string            `required:"" placeholder:"FILE" help:"The settings of one of the nodes (TOML)."`
	Nodes  map[string]string `required:"" placeholder:"LABEL=HOST:PORT;..." help:"The nodes' users' addresses, by label."`
	Lose   float64           `default:"0" placeholder:"PART" help:"The part of the transactions to the state service whose answer is lost."`
}

// Run carries the command out.
func (c *demoCmd) Run() error {
	settings, err := config.Load(c.Config)
	if err != nil {
		return settingsError{err}
	}
	log, err := newLogger()
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	return simulator.ServeSite(ctx, settings, c.Nodes, c.Lose, log)
}
