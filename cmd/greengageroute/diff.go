package main

import (
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	greengageroute "greengageroute.example/greengageroute"
)

const diffUsage = `Shows the changes that applying a file would make, and the version in force that
they are based on.`

type fileDiff struct {
	Name    string   `json:"name"`
	Base    uint64   `json:"base"`
	Changes []string `json:"changes"`
}

func newDiffCommand(admin *adminFlags) *cobra.Command {
	return &cobra.Command{
		Use: "diff FILE", Short: "Show what a file would change", Long: diffUsage, Args: cobra.ExactArgs(1),
		Example: "  greengageroute diff groups.yaml",
		RunE: func(command *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return trace.Wrap(err)
			}
			header, err := admin.authorization()
			if err != nil {
				return err
			}
			file, err := currentFile(command.Context(), admin.client(), header, fileName(args[0]))
			if err != nil {
				return err
			}
			diff := fileDiff{Name: file.Name, Base: file.Version, Changes: greengageroute.DiffFiles(file.Name, file.Text, string(text))}
			return admin.print(command, diff, func(out io.Writer) {
				fmt.Fprintf(out, "file %q, against version %d:\n", diff.Name, diff.Base)
				for _, line := range diff.Changes {
					fmt.Fprintln(out, "  "+line)
				}
			})
		},
	}
}
