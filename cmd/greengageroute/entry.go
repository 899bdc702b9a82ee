package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/entry"
	"greengageroute.example/greengageroute/platform"
	"greengageroute.example/greengageroute/serve"
)

const entryUsage = `Runs an entry.

The settings file holds its listen addresses, the seed entries that it joins
through and the address of the platform; see docs/configuration.md. SIGTERM stops
the entry gracefully: the load balancer's health check fails first, running
requests finish, then leases are released.`

func newEntryCommand() *cobra.Command {
	var settingsFile, metricsPort string
	command := &cobra.Command{
		Use: "entry --settings FILE", Short: "Run an entry", Long: entryUsage, Args: cobra.NoArgs,
		Example: "  greengageroute entry --settings /etc/greengageroute/entry.yaml",
		RunE: func(command *cobra.Command, _ []string) error {
			// From the start until the process has ended: SIGHUP would end it otherwise.
			hangup := make(chan os.Signal, 1)
			signal.Notify(hangup, syscall.SIGHUP)
			if path := os.Getenv(platform.SettingsVariable); path != "" && !command.Flags().Changed("settings") {
				return runOnPlatform(command.Context(), path, metricsPort, hangup)
			}
			settings, err := greengageroute.ReadSettings(settingsFile)
			if err != nil {
				return err
			}
			settings.Limits().LimitMemory()
			instance, err := entry.New(settings, newLog())
			if err != nil {
				return err
			}
			return instance.Run(command.Context())
		},
	}
	command.Flags().StringVar(&settingsFile, "settings", "entry.yaml", "settings file")
	command.Flags().StringVar(&metricsPort, "metrics", "", "listen port of the metrics on the users' platform, as :PORT")
	return command
}

// runOnPlatform runs an entry on the users' platform, with the settings file that
// the platform provides. It reads the file again when hangup receives.
func runOnPlatform(ctx context.Context, path, metricsAddress string, hangup <-chan os.Signal) error {
	deployment, err := platform.ReadDeployment(path)
	if err != nil {
		return err
	}
	if metricsAddress != "" {
		metricsAddress = deployment.IP + metricsAddress
	}
	instance, err := serve.New(ctx, deployment, metricsAddress, os.Stdout)
	if err != nil {
		return err
	}
	go followSettings(ctx, path, instance, hangup)
	return instance.Run(ctx)
}

// settingsPollInterval is the interval of checks for a changed settings file, as
// the file may change without a signal.
const settingsPollInterval = 2 * time.Second

// followSettings reloads the entry's settings on SIGHUP and when the file changes.
// Invalid settings are reported and the previous ones stay in force.
func followSettings(ctx context.Context, path string, entry *serve.Entry, hangup <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if modified := modTime(path); modified.Equal(lastModified) {
				continue
			}
		}
		lastModified = modTime(path)
		deployment, err := platform.ReadDeployment(path)
		entry.Reload(deployment, err)
	}
}

// modTime returns the modification time of a file, or the zero time if the file
// can't be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func newLog() logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(os.Stderr, nil))
}
