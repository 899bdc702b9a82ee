package main

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/entry"
	genoperator "greengageroute.example/greengageroute/gen/operator"
	"greengageroute.example/greengageroute/standin"
)

const (
	devUsage = `Runs a complete system in one process on loopback addresses, for evaluation:
two entries and stand-ins for the platform, four engines and a plain service.`

	devToken      = "dev-operator"
	devCounterKey = "dev-counters"
	devLettersKey = "dev-letters"
	devDataCentre = "nuwara-eliya"
	devEngines    = 4

	devTokenInterval = 20 * time.Millisecond
	devLoadTime      = 200 * time.Millisecond
	devStartTimeout  = 30 * time.Second
)

//go:embed dev.yaml
var devConfig string

// devSystem is the complete system that the dev command runs.
type devSystem struct {
	out             io.Writer
	log             logr.Logger
	directory       string
	platformAddress string
	ledgerAddress   string
	entryAddresses  []string
}

func newDevCommand() *cobra.Command {
	listen := []string{"127.0.0.1:8080", "127.0.0.1:8081"}
	command := &cobra.Command{
		Use: "dev", Short: "Run a complete system in one process", Long: devUsage, Args: cobra.NoArgs,
		Example: "  greengageroute dev",
		RunE: func(command *cobra.Command, _ []string) error {
			directory, err := os.MkdirTemp("", "greengageroute-dev-")
			if err != nil {
				return trace.Wrap(err)
			}
			defer os.RemoveAll(directory)
			system := &devSystem{out: command.OutOrStdout(), log: logr.Discard(), directory: directory, entryAddresses: listen}
			return system.run(command.Context())
		},
	}
	command.Flags().StringSliceVar(&listen, "listen", listen, "addresses of the two entries")
	return command
}

func (system *devSystem) run(ctx context.Context) error {
	if err := system.startStandins(ctx); err != nil {
		return err
	}
	if err := makeKeys(system.directory, []string{"entry-1", "entry-2"}); err != nil {
		return err
	}
	var entries sync.WaitGroup
	defer entries.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var seeds []string
	for i, listen := range system.entryAddresses {
		instance, err := entry.New(system.entrySettings(fmt.Sprintf("entry-%d", i+1), listen, seeds), system.log)
		if err != nil {
			return err
		}
		seeds = append(seeds, instance.PeerAddress())
		entries.Go(func() {
			if err := instance.Run(ctx); err != nil {
				fmt.Fprintln(system.out, err)
			}
		})
	}
	if err := system.applyConfig(ctx); err != nil {
		return err
	}
	if err := system.waitServing(ctx); err != nil {
		return err
	}
	system.printExamples()
	<-ctx.Done()
	return nil
}

func (system *devSystem) entrySettings(name, listen string, seeds []string) greengageroute.Settings {
	file := func(name string) string { return filepath.Join(system.directory, name) }
	settings := greengageroute.Settings{
		Name: name, DataCentre: devDataCentre, Listen: listen, PeerListen: "127.0.0.1:0", Seeds: seeds, Platform: system.platformAddress,
		OperatorTokenHash: greengageroute.HashKey(devToken), StopGrace: 100 * time.Millisecond,
		Keys: greengageroute.KeyPaths{
			Authority: file("authority.pem"), Certificate: file(name + ".pem"), Key: file(name + ".key"), EventKey: file("event.key"),
		},
	}
	return settings.Defaults()
}

func (system *devSystem) startStandins(ctx context.Context) error {
	var vms []greengageroute.VM
	for i := range devEngines {
		id := fmt.Sprintf("vm-%d", i+1)
		engine := standin.NewEngine(standin.EngineSettings{VM: id, LoadTime: devLoadTime, TokenInterval: devTokenInterval, HonoursFences: true})
		address, err := serveOnFreePort(ctx, engine.Handler())
		if err != nil {
			return err
		}
		vms = append(vms, greengageroute.VM{ID: id, Address: address, DataCentre: devDataCentre, Domain: "ne-1", State: greengageroute.VMLive})
	}
	var err error
	if system.ledgerAddress, err = serveOnFreePort(ctx, standin.NewService(standin.NewLedger()).Handler()); err != nil {
		return err
	}
	system.platformAddress, err = serveOnFreePort(ctx, standin.NewPlatform(vms...).Handler())
	return err
}

func (system *devSystem) admin() *adminFlags { return &adminFlags{entry: system.entryAddresses[0]} }

func (system *devSystem) applyConfig(ctx context.Context) error {
	text := strings.NewReplacer(
		"LEDGER", system.ledgerAddress, "COUNTERS", greengageroute.HashKey(devCounterKey), "LETTERS", greengageroute.HashKey(devLettersKey),
	).Replace(devConfig)
	header := "Bearer " + devToken
	_, err := system.admin().client().Apply(ctx, &genoperator.ApplyPayload{Authorization: &header, Name: "dev", Text: text, ApplyID: uuid.NewString()})
	return trace.Wrap(err, "applying the built-in configuration")
}

func (system *devSystem) waitServing(ctx context.Context) error {
	header := "Bearer " + devToken
	deadline := time.Now().Add(devStartTimeout)
	for time.Now().Before(deadline) {
		status, err := system.admin().client().Status(ctx, &genoperator.StatusPayload{Authorization: &header})
		if err == nil && len(status.Groups) == 1 && status.Groups[0].State == "serving" {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(waitInterval):
		}
	}
	return trace.LimitExceeded("the group is not serving after %s; give the process more CPU time", devStartTimeout)
}

func (system *devSystem) printExamples() {
	fmt.Fprintf(system.out, `serving at %s

curl -N http://%s/v1/chat/completions -H "Authorization: Bearer %s" -d '{"model":"trail-70b","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Is the ridge open?"}]}'
curl http://%s/services/ledger/deposits -H "Authorization: Bearer %s" -H "Idempotency-Key: deposit-1" -d 'snowshoes 41'
%s=%s go run ./cmd/greengageroute status --entry %s

Ctrl-C stops it.
`, strings.Join(system.entryAddresses, " and "), system.entryAddresses[0], devCounterKey, system.entryAddresses[1%len(system.entryAddresses)], devCounterKey, tokenVariable, devToken, system.entryAddresses[0])
}

// serveOnFreePort serves a handler on a free loopback port until the context ends.
func serveOnFreePort(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}
