// Command thornnotch is a cluster scheduler: every controller node runs it.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// version is set at release with -ldflags.
var version = "0.1.0-dev"

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2 // faults in arguments, settings or environment
)

// commandLine is the program's commands and flags; kong reads the tags.
type commandLine struct {
	Serve   serveCmd         `cmd:"" default:"withargs" help:"Run a controller node."`
	Check   checkCmd         `cmd:"" help:"Check the settings and report every problem."`
	Job     jobCmd           `cmd:"" help:"Submit, show and cancel jobs."`
	Status  statusCmd        `cmd:"" help:"Show nodes, machines, queue, teams and holds."`
	Demo    demoCmd          `cmd:"" help:"Run stand-ins of the state service, the cloud and its machines on this computer."`
	Version kong.VersionFlag `help:"Print the version."`
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "thornnotch:", err)
		os.Exit(exitCode(err))
	}
}

// run parses the arguments and carries the command out.
func run(args []string) error {
	var commands commandLine
	parser, err := kong.New(&commands, kong.Name("thornnotch"),
		kong.Description("A cluster scheduler with speculative slot reservation."),
		kong.UsageOnError(), kong.Vars{"version": version})
	if err != nil {
		panic(err) // a mistake in the tags above
	}
	command, err := parser.Parse(args)
	if err != nil {
		return settingsError{err}
	}
	return command.Run()
}

func exitCode(err error) int {
	if errors.As(err, new(settingsError)) {
		return exitUsage
	}
	return exitFailure
}
