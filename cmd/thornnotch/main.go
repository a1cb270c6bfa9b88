// Command thornnotch is a cluster scheduler. It runs a controller node, and contains the
// commands to check settings, manage jobs and show the status of the cluster.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// version is set with -ldflags for a release.
var version = "0.1.0-dev"

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2 // invalid arguments, settings or environment
)

// commandLine defines the commands and flags in kong's struct tags.
type commandLine struct {
	Serve   serveCmd         `cmd:"" default:"withargs" help:"Run a controller node."`
	Check   checkCmd         `cmd:"" help:"Check the settings files and report all problems."`
	Job     jobCmd           `cmd:"" help:"Submit, show and cancel jobs."`
	Status  statusCmd        `cmd:"" help:"Show nodes, machines, queue, teams and reservations."`
	Demo    demoCmd          `cmd:"" help:"Run a simulated state service, cloud and workers on this machine."`
	Version kong.VersionFlag `help:"Print the version."`
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "thornnotch:", err)
		os.Exit(exitCode(err))
	}
}

// run parses the arguments and executes the command.
func run(args []string) error {
	var commands commandLine
	parser, err := kong.New(&commands, kong.Name("thornnotch"),
		kong.Description("A cluster scheduler with speculative slot reservation."),
		kong.UsageOnError(), kong.Vars{"version": version})
	if err != nil {
		panic(err) // a struct tag is invalid
	}
	command, err := parser.Parse(args)
	if err != nil {
		return usageError{err}
	}
	return command.Run()
}

func exitCode(err error) int {
	if errors.As(err, new(usageError)) {
		return exitUsage
	}
	return exitFailure
}
