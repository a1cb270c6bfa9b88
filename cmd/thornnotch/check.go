package main

import (
	"fmt"

	"thornnotch/internal/constants"
)

// checkCmd checks the settings.
type checkCmd struct {
	settingsFiles
	Machines int `default:"0" placeholder:"N" help:"How many machines are to be expected; without it only what no site could do with is named."`
}

// Run carries the command out.
func (c *checkCmd) Run() error {
	settings, _, err := c.load()
	if err != nil {
		return err
	}
	for _, warning := range settings.SizingWarnings(max(c.Machines, constants.MinWorkers)) {
		fmt.Println("warning:", warning)
	}
	fmt.Println("the settings are good")
	return nil
}
