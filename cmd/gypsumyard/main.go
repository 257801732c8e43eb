// Command gypsumyard is a database proxy with session consistency. Run it with
// --help for its commands.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/gypsumyard/gypsumyard/internal/operator"
	"github.com/urfave/cli/v3"
)

// Exit codes, which are listed in the help text.
const (
	exitFailure        = 1
	exitUsage          = 2
	exitConflict       = 3
	exitNotInForce     = 4
	exitOutcomeUnknown = 5
)

const description = `Exit codes: 0 success, 1 failure, 2 wrong usage or settings,
3 the entry was edited meanwhile, 4 a change was not in force in time,
5 the outcome of an edit is unknown.`

func main() {
	os.Exit(run(os.Args))
}

// run executes one command line and returns the exit code.
func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newCommand().Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "gypsumyard:", err)
	return exitCode(err)
}

func newCommand() *cli.Command {
	root := &cli.Command{
		Name:        "gypsumyard",
		Usage:       "database proxy with session consistency",
		Description: description,
		Commands: []*cli.Command{
			serveCommand(),
			devCommand(),
			emulateCommand(),
			benchCommand(),
			slopesCommand(),
			checkCommand(),
			plansCommand(),
			statusCommand(),
			drainCommand(),
			verifierCommand(),
		},
		// Errors and exit codes are handled in run.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	setUsageErrors(root)
	return root
}

// setUsageErrors makes c and its subcommands report wrong flags and unknown
// subcommands as usage errors. The handlers are set on each command because
// subcommands do not inherit them.
func setUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usageError{err}
	}
	if c.Action == nil {
		c.Action = showSubcommands
	}
	for _, sub := range c.Commands {
		setUsageErrors(sub)
	}
}

// showSubcommands is the action of a command that has only subcommands. It shows
// the help, and fails if it is given an argument.
func showSubcommands(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usageError{fmt.Errorf("%s has no command %q", c.FullName(), c.Args().First())}
	}
	return cli.ShowSubcommandHelp(c)
}

// A usageError indicates that the command line or the settings are wrong.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// errNotInForce indicates that a change was accepted but is not yet in force on
// all hosts.
var errNotInForce = errors.New("the change is accepted but not in force everywhere yet")

func exitCode(err error) int {
	var usage usageError
	var apiErr *operator.APIError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	case errors.As(err, &apiErr) && apiErr.Kind == "conflict":
		return exitConflict
	case errors.As(err, &apiErr) && apiErr.Kind == "outcome-unknown":
		return exitOutcomeUnknown
	default:
		return exitFailure
	}
}
