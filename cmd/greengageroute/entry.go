package main

import (
	"log/slog"
	"os"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/entry"
)

const entryUsage = `Runs an entry.

The settings file says where it listens, which entries it joins by, and where
the platform is; see docs/configuration.md. SIGTERM stops it gracefully: the
balancer's check fails first, requests under way are finished, duties are given
up.`

func newEntryCommand() *cobra.Command {
	var settingsFile string
	command := &cobra.Command{
		Use: "entry --settings FILE", Short: "Run an entry", Long: entryUsage, Args: cobra.NoArgs,
		Example: "  greengageroute entry --settings /etc/greengageroute/entry.yaml",
		RunE: func(command *cobra.Command, _ []string) error {
			settings, err := greengageroute.ReadSettings(settingsFile)
			if err != nil {
				return err
			}
			made, err := entry.New(settings, newLog())
			if err != nil {
				return err
			}
			return made.Run(command.Context())
		},
	}
	command.Flags().StringVar(&settingsFile, "settings", "entry.yaml", "settings file")
	return command
}

func newLog() logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(os.Stderr, nil))
}
