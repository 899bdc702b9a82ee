package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
	genoperator "greengageroute.example/greengageroute/gen/operator"
)

const auditUsage = `Lists the accepted changes of files, drains and groups, oldest first.`

func newAuditCommand(admin *adminFlags) *cobra.Command {
	after := uint64(0)
	command := &cobra.Command{
		Use: "audit", Short: "List accepted changes", Long: auditUsage, Args: cobra.NoArgs,
		Example: "  greengageroute audit --after 120 --output json",
		RunE: func(command *cobra.Command, _ []string) error {
			header, err := admin.authorization()
			if err != nil {
				return err
			}
			trail, err := admin.client().Audit(command.Context(), &genoperator.AuditPayload{Authorization: header, After: &after})
			if err != nil {
				return err
			}
			return admin.print(command, trail, func(out io.Writer) {
				for _, record := range trail.Changes {
					fmt.Fprintf(out, "%s  %s  %s  %d -> %d  %s\n", record.At, record.Who, record.Subject, record.From, record.To, strings.Join(record.What, ", "))
				}
			})
		},
	}
	command.Flags().Uint64Var(&after, "after", 0, "list only changes of files after this revision")
	return command
}
