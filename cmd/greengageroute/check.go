package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/caller"
	genoperator "greengageroute.example/greengageroute/gen/operator"
)

const checkUsage = `Validates configuration files without applying them.

The files are checked together, without an entry. With --online each file is
checked against the files in force at the entry instead.`

func newCheckCommand(admin *adminFlags) *cobra.Command {
	online := false
	command := &cobra.Command{
		Use: "check FILE...", Short: "Validate files", Long: checkUsage, Args: cobra.MinimumNArgs(1),
		Example: "  greengageroute check examples/department/*.yaml",
		RunE: func(command *cobra.Command, args []string) error {
			if online {
				return checkOnline(command, admin, args)
			}
			return checkOffline(command, admin, args)
		},
	}
	command.Flags().BoolVar(&online, "online", false, "check against the files in force at the entry")
	return command
}

func checkOffline(command *cobra.Command, admin *adminFlags, paths []string) error {
	versions := map[string]greengageroute.FileVersion{}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return trace.Wrap(err)
		}
		versions[path] = greengageroute.FileVersion{Name: path, Text: string(text), Version: 1, Revision: 1}
	}
	_, err := greengageroute.NewConfig(1, versions)
	return printCheckResult(command, admin, err)
}

func checkOnline(command *cobra.Command, admin *adminFlags, paths []string) error {
	header, err := admin.authorization()
	if err != nil {
		return err
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return trace.Wrap(err)
		}
		checked, err := admin.client().Check(command.Context(), &genoperator.CheckPayload{Authorization: header, Name: fileName(path), Text: string(text)})
		if err != nil {
			return err
		}
		if len(checked.Faults) > 0 {
			for _, diagnostic := range checked.Faults {
				fmt.Fprintln(command.OutOrStdout(), diagnostic)
			}
			return &caller.Refusal{Status: 422, Message: fmt.Sprintf("%d faults found", len(checked.Faults))}
		}
	}
	return printCheckResult(command, admin, nil)
}

// printCheckResult prints the result of an offline check or of an online check
// without faults. It returns err, which decides the exit code.
func printCheckResult(command *cobra.Command, admin *adminFlags, err error) error {
	lines := []string{}
	var invalid *greengageroute.ValidationError
	if errors.As(err, &invalid) {
		lines = invalid.Lines()
	}
	printErr := admin.print(command, lines, func(out io.Writer) {
		if err == nil {
			fmt.Fprintln(out, "no faults found")
		}
	})
	return errors.Join(err, printErr)
}
