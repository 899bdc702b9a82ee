// Command standin runs the stand-ins for external systems as separate processes,
// for tests and demonstrations.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/standin"
)

const (
	usage = `Runs a stand-in for an external system. POST /control/faults at its address
injects faults.`

	headerTimeout = 5 * time.Second
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "standin", Long: usage, SilenceUsage: true}
	root.AddCommand(platformCommand(), engineCommand(), serviceCommand(), enginesCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		stop()
		os.Exit(1)
	}
}

func platformCommand() *cobra.Command {
	var listen, vmsFile string
	command := &cobra.Command{
		Use: "platform", Short: "Run a stand-in for the platform", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			vms, err := readVMs(vmsFile)
			if err != nil {
				return err
			}
			return serve(command.Context(), listen, standin.NewPlatform(vms...).Handler())
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "address IP:port")
	command.Flags().StringVar(&vmsFile, "vms", "", "JSON file of the VMs to list")
	return command
}

func readVMs(path string) ([]greengageroute.VM, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var vms []greengageroute.VM
	if err := json.Unmarshal(text, &vms); err != nil {
		return nil, fmt.Errorf("file %q is not a list of VMs: %w", path, err)
	}
	return vms, nil
}

func engineCommand() *cobra.Command {
	settings := standin.EngineSettings{}
	command := &cobra.Command{
		Use: "engine", Short: "Run a stand-in for a model engine", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return serve(command.Context(), settings.Listen, standin.NewEngine(settings).Handler())
		},
	}
	flags := command.Flags()
	flags.StringVar(&settings.Listen, "listen", "127.0.0.1:7100", "address IP:port")
	flags.StringVar(&settings.VM, "vm", "vm-1", "id of the engine's VM")
	flags.DurationVar(&settings.LoadTime, "load-time", 200*time.Millisecond, "duration of loading a model")
	flags.DurationVar(&settings.TokenInterval, "token-interval", 20*time.Millisecond, "duration between tokens")
	flags.BoolVar(&settings.HonoursFences, "honours-fences", true, "refuse orders whose fencing number is outdated")
	return command
}

// enginesCommand runs many engines and a platform that lists their VMs in one
// process, for measurements, and prints the address of the platform.
func enginesCommand() *cobra.Command {
	var dataCentres, enginesPerDataCentre, domainSize int
	command := &cobra.Command{
		Use: "engines", Short: "Run stand-ins for many engines and for a platform that lists them", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var vms []greengageroute.VM
			for i := range dataCentres * enginesPerDataCentre {
				dataCentre := fmt.Sprintf("dc-%d", i/enginesPerDataCentre)
				vm := greengageroute.VM{ID: fmt.Sprintf("%s-vm-%d", dataCentre, i%enginesPerDataCentre), DataCentre: dataCentre, Domain: fmt.Sprintf("%s-%d", dataCentre, i%enginesPerDataCentre/domainSize), State: greengageroute.VMLive}
				engine := standin.NewEngine(standin.EngineSettings{VM: vm.ID, HonoursFences: true, TokenInterval: time.Millisecond})
				var err error
				if vm.Address, err = serveOnFreePort(command.Context(), engine.Handler()); err != nil {
					return err
				}
				vms = append(vms, vm)
			}
			address, err := serveOnFreePort(command.Context(), standin.NewPlatform(vms...).Handler())
			if err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), address)
			<-command.Context().Done()
			return nil
		},
	}
	command.Flags().IntVar(&dataCentres, "data-centres", 1, "number of data centres")
	command.Flags().IntVar(&enginesPerDataCentre, "count", 4, "number of engines in each data centre")
	command.Flags().IntVar(&domainSize, "domain", 16, "number of VMs in each fabric domain")
	return command
}

// serveOnFreePort serves on a free loopback port until the context ends.
func serveOnFreePort(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func serviceCommand() *cobra.Command {
	var listen string
	command := &cobra.Command{
		Use: "service", Short: "Run a stand-in for a target of a plain service", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return serve(command.Context(), listen, standin.NewService(standin.NewLedger()).Handler())
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:7200", "address IP:port")
	return command
}

func serve(ctx context.Context, listen string, handler http.Handler) error {
	server := &http.Server{Addr: listen, Handler: handler, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
