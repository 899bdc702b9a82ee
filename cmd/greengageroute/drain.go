package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
	genoperator "greengageroute.example/greengageroute/gen/operator"
)

const drainUsage = `Drains a VM, a group or a target of a plain service.

After at most 3 seconds it gets no new requests; running requests finish. --undo
cancels the drain.`

func newDrainCommand(admin *adminFlags) *cobra.Command {
	undo := false
	command := &cobra.Command{
		Use: "drain vm|group|target NAME", Short: "Drain a VM, a group or a target", Long: drainUsage, Args: cobra.ExactArgs(2),
		Example: "  greengageroute drain vm vm-17\n  greengageroute drain target 10.0.0.7:9000 --undo",
		RunE: func(command *cobra.Command, args []string) error {
			header, err := admin.authorization()
			if err != nil {
				return err
			}
			applied, err := admin.client().Drain(command.Context(), &genoperator.DrainPayload{
				Authorization: header, Kind: args[0], Name: args[1], Undo: &undo,
			})
			if err != nil {
				return err
			}
			return admin.print(command, applied, func(out io.Writer) {
				fmt.Fprintf(out, "%s %q: drain mark in force as revision %d\n", args[0], args[1], applied.Revision)
			})
		},
	}
	command.Flags().BoolVar(&undo, "undo", false, "cancel the drain")
	return command
}
