package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
	genoperator "greengageroute.example/greengageroute/gen/operator"
)

const (
	statusUsage = `Shows the state of the system as known to one entry: the revision in force, the
entries that it knows and the groups of its data centre.`

	columnPadding = 2
)

func newStatusCommand(admin *adminFlags) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show the state of the system", Long: statusUsage, Args: cobra.NoArgs,
		Example: "  greengageroute status --output json",
		RunE: func(command *cobra.Command, _ []string) error {
			header, err := admin.authorization()
			if err != nil {
				return err
			}
			status, err := admin.client().Status(command.Context(), &genoperator.StatusPayload{Authorization: header})
			if err != nil {
				return err
			}
			return admin.print(command, status, func(out io.Writer) { printStatus(out, status) })
		},
	}
}

func printStatus(out io.Writer, status *genoperator.SystemStatus) {
	fmt.Fprintf(out, "entry %s, revision %d\n\n", status.Entry, status.Revision)
	table := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(table, "ENTRY\tDATA CENTRE\tSTATE\tREVISION")
	for _, entry := range status.Entries {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\n", entry.Name, entry.DataCentre, entry.State, entry.Revision)
	}
	fmt.Fprintln(table, "\nGROUP\tMODEL\tSTATE\tVMS\tREASON")
	for _, group := range status.Groups {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", group.Name, group.Model, group.State, strings.Join(group.Vms, ","), group.Reason)
	}
	table.Flush()
}
