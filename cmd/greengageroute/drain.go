package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
	genoperator "greengageroute.example/greengageroute/gen/operator"
)

const drainUsage = `Marks a VM, a group or a target of a plain service as leaving.

It gets no new work within 3 seconds and finishes what it has. --undo takes the
mark back.`

func newDrainCommand(admin *adminFlags) *cobra.Command {
	undo := false
	command := &cobra.Command{
		Use: "drain vm|group|target NAME", Short: "Mark something as leaving", Long: drainUsage, Args: cobra.ExactArgs(2),
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
	command.Flags().BoolVar(&undo, "undo", false, "take the mark back")
	return command
}
