package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	genoperator "greengageroute.example/greengageroute/gen/operator"
)

const (
	applyUsage = `Puts a configuration file in force as a whole.

The file replaces the one in force under the same name. --base is the version
that the new text is based on; without it the command reads the version in force
first. If another operator has applied a newer version, nothing changes and the
command prints who applied it (exit code 4). If the outcome is unknown (exit code
5), run the command again with the same --apply-id.`

	waitInterval = 200 * time.Millisecond
	waitTimeout  = 30 * time.Second
)

type applyFlags struct {
	base            int64
	applyID         string
	wait            bool
	everyDataCentre bool
}

func newApplyCommand(admin *adminFlags) *cobra.Command {
	flags := &applyFlags{}
	command := &cobra.Command{
		Use: "apply FILE", Short: "Put a file in force", Long: applyUsage, Args: cobra.ExactArgs(1),
		Example: "  greengageroute apply --wait groups.yaml",
		RunE: func(command *cobra.Command, args []string) error {
			return apply(command, admin, flags, args[0])
		},
	}
	command.Flags().Int64Var(&flags.base, "base", -1, "version that the text is based on; -1 for the version in force")
	command.Flags().StringVar(&flags.applyID, "apply-id", "", "id of this attempt; repeat it after an unknown outcome")
	command.Flags().BoolVar(&flags.wait, "wait", false, "wait until the file is in force at every live entry")
	command.Flags().BoolVar(&flags.everyDataCentre, "every-data-centre", false, "refuse the file while any data centre is unreachable")
	return command
}

func apply(command *cobra.Command, admin *adminFlags, flags *applyFlags, path string) error {
	ctx := command.Context()
	text, err := os.ReadFile(path)
	if err != nil {
		return trace.Wrap(err)
	}
	header, err := admin.authorization()
	if err != nil {
		return err
	}
	client := admin.client()
	payload := &genoperator.ApplyPayload{
		Authorization: header, Name: fileName(path), Text: string(text), ApplyID: flags.applyID, EveryDataCentre: &flags.everyDataCentre,
	}
	if payload.ApplyID == "" {
		payload.ApplyID = uuid.NewString()
	}
	if flags.base >= 0 {
		payload.Base = uint64(flags.base)
	} else {
		file, err := currentFile(ctx, client, header, payload.Name)
		if err != nil {
			return err
		}
		payload.Base = file.Version
	}
	applied, err := client.Apply(ctx, payload)
	if err != nil {
		return trace.Wrap(err, "applying %q with apply id %s", payload.Name, payload.ApplyID)
	}
	if flags.wait {
		if err := waitInForce(ctx, client, header, applied.Revision); err != nil {
			return err
		}
	}
	return admin.print(command, applied, func(out io.Writer) {
		fmt.Fprintf(out, "file %q is in force as version %d, revision %d\n", applied.Name, applied.Version, applied.Revision)
	})
}

// waitInForce waits until all live entries have the revision in force, for at most
// waitTimeout.
func waitInForce(ctx context.Context, client *genoperator.Client, header *string, revision uint64) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		status, err := client.Status(ctx, &genoperator.StatusPayload{Authorization: header})
		if err != nil {
			return err
		}
		lagging := ""
		for _, entry := range status.Entries {
			if entry.State == "alive" && entry.Revision < revision {
				lagging = fmt.Sprintf("entry %q of data centre %q is at revision %d", entry.Name, entry.DataCentre, entry.Revision)
			}
		}
		if lagging == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return trace.LimitExceeded("revision %d is accepted but not yet in force everywhere: %s; run \"greengageroute status\"", revision, lagging)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(waitInterval):
		}
	}
}
