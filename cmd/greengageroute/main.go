// Command greengageroute runs an entry of the serving system and administers the
// system.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/caller"
)

const rootUsage = `greengageroute serves models whose replicas span several VMs.

"greengageroute entry" runs an entry. The commands for operators send requests to
the entry at --entry, with a token from --token-file or the variable
GREENGAGEROUTE_TOKEN.

Exit codes:
  0  success
  1  any other failure
  2  the command line is invalid
  3  a file has faults
  4  another operator applied a newer version
  5  the entry or the platform is unavailable, or the outcome is unknown
  6  the token is unknown or lacks permission`

// Exit codes, as documented in rootUsage.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitInvalidFile = 3
	exitConflict    = 4
	exitUnavailable = 5
	exitDenied      = 6
)

type usageError struct{ error }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newRootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(exitCode(err))
	}
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "greengageroute", Long: rootUsage, SilenceUsage: true, SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	admin := &adminFlags{}
	admin.register(root.PersistentFlags())
	root.AddCommand(
		newEntryCommand(), newApplyCommand(admin), newCheckCommand(admin), newDiffCommand(admin), newStatusCommand(admin),
		newDrainCommand(admin), newAuditCommand(admin), newDevCommand(), newKeysCommand(), newTokenCommand(),
	)
	return root
}

func exitCode(err error) int {
	var badUsage usageError
	var invalid *greengageroute.ValidationError
	var refusal *caller.Refusal
	switch {
	case errors.As(err, &badUsage):
		return exitUsage
	case errors.As(err, &invalid):
		return exitInvalidFile
	case !errors.As(err, &refusal):
		return exitFailed
	}
	switch refusal.Status {
	case http.StatusUnprocessableEntity:
		return exitInvalidFile
	case http.StatusConflict:
		return exitConflict
	case http.StatusUnauthorized, http.StatusForbidden:
		return exitDenied
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return exitUnavailable
	default:
		return exitFailed
	}
}
