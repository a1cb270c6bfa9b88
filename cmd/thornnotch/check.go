package main

import (
	"fmt"

	"thornnotch/internal/constants"
)

// checkCmd checks the settings files.
type checkCmd struct {
	settingsFiles
	Machines int `default:"0" placeholder:"N" help:"Expected number of machines to check the limits for, if above the minimum."`
}

// Run executes the command.
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
