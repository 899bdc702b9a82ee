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
	devUsage = `Serves the whole path in one process, for a first look: stand-ins for the
platform, four engines and a plain service, and two entries, on loopback.`

	devToken   = "dev-operator"
	devKey     = "dev-counters"
	devLetters = "dev-letters"
	devCentre  = "nuwara-eliya"
	devEngines = 4

	devTokenInterval = 20 * time.Millisecond
	devLoadTime      = 200 * time.Millisecond
	devServing       = 30 * time.Second
)

//go:embed dev.yaml
var devFile string

// dev is the whole path in one process.
type dev struct {
	out       io.Writer
	log       logr.Logger
	directory string
	platform  string
	ledger    string
	entries   []string
}

func newDevCommand() *cobra.Command {
	listen := []string{"127.0.0.1:8080", "127.0.0.1:8081"}
	command := &cobra.Command{
		Use: "dev", Short: "Serve everything in one process", Long: devUsage, Args: cobra.NoArgs,
		Example: "  greengageroute dev",
		RunE: func(command *cobra.Command, _ []string) error {
			directory, err := os.MkdirTemp("", "greengageroute-dev-")
			if err != nil {
				return trace.Wrap(err)
			}
			defer os.RemoveAll(directory)
			made := &dev{out: command.OutOrStdout(), log: logr.Discard(), directory: directory, entries: listen}
			return made.run(command.Context())
		},
	}
	command.Flags().StringSliceVar(&listen, "listen", listen, "addresses of the two entries")
	return command
}

func (dev *dev) run(ctx context.Context) error {
	if err := dev.startStandins(ctx); err != nil {
		return err
	}
	if err := makeKeys(dev.directory, []string{"entry-1", "entry-2"}); err != nil {
		return err
	}
	var entries sync.WaitGroup
	defer entries.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var seeds []string
	for i, listen := range dev.entries {
		made, err := entry.New(dev.settings(fmt.Sprintf("entry-%d", i+1), listen, seeds), dev.log)
		if err != nil {
			return err
		}
		seeds = append(seeds, made.PeerAddress())
		entries.Go(func() {
			if err := made.Run(ctx); err != nil {
				fmt.Fprintln(dev.out, err)
			}
		})
	}
	if err := dev.apply(ctx); err != nil {
		return err
	}
	if err := dev.waitServing(ctx); err != nil {
		return err
	}
	dev.greet()
	<-ctx.Done()
	return nil
}

func (dev *dev) settings(name, listen string, seeds []string) greengageroute.Settings {
	file := func(name string) string { return filepath.Join(dev.directory, name) }
	settings := greengageroute.Settings{
		Name: name, DataCentre: devCentre, Listen: listen, PeerListen: "127.0.0.1:0", Seeds: seeds, Platform: dev.platform,
		OperatorTokenHash: greengageroute.HashKey(devToken), StopGrace: 100 * time.Millisecond,
		Keys: greengageroute.KeyPaths{
			Authority: file("authority.pem"), Certificate: file(name + ".pem"), Key: file(name + ".key"), EventKey: file("event.key"),
		},
	}
	return settings.Defaults()
}

func (dev *dev) startStandins(ctx context.Context) error {
	var vms []greengageroute.VM
	for i := range devEngines {
		id := fmt.Sprintf("vm-%d", i+1)
		engine := standin.NewEngine(standin.EngineSettings{VM: id, LoadTime: devLoadTime, TokenInterval: devTokenInterval, HonoursFences: true})
		address, err := serveStandIn(ctx, engine.Handler())
		if err != nil {
			return err
		}
		vms = append(vms, greengageroute.VM{ID: id, Address: address, DataCentre: devCentre, Domain: "ne-1", State: greengageroute.VMLive})
	}
	var err error
	if dev.ledger, err = serveStandIn(ctx, standin.NewService(standin.NewLedger()).Handler()); err != nil {
		return err
	}
	dev.platform, err = serveStandIn(ctx, standin.NewPlatform(vms...).Handler())
	return err
}

func (dev *dev) admin() *adminFlags { return &adminFlags{entry: dev.entries[0]} }

func (dev *dev) apply(ctx context.Context) error {
	text := strings.NewReplacer(
		"LEDGER", dev.ledger, "COUNTERS", greengageroute.HashKey(devKey), "LETTERS", greengageroute.HashKey(devLetters),
	).Replace(devFile)
	header := "Bearer " + devToken
	_, err := dev.admin().client().Apply(ctx, &genoperator.ApplyPayload{Authorization: &header, Name: "dev", Text: text, ApplyID: uuid.NewString()})
	return trace.Wrap(err, "applying the example")
}

func (dev *dev) waitServing(ctx context.Context) error {
	header := "Bearer " + devToken
	deadline := time.Now().Add(devServing)
	for time.Now().Before(deadline) {
		status, err := dev.admin().client().Status(ctx, &genoperator.StatusPayload{Authorization: &header})
		if err == nil && len(status.Groups) == 1 && status.Groups[0].State == "serving" {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(waitPoll):
		}
	}
	return trace.LimitExceeded("no group serves after %s; run with more processor time", devServing)
}

func (dev *dev) greet() {
	fmt.Fprintf(dev.out, `serving at %s

curl -N http://%s/v1/chat/completions -H "Authorization: Bearer %s" -d '{"model":"trail-70b","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Is the ridge open?"}]}'
curl http://%s/services/ledger/deposits -H "Authorization: Bearer %s" -H "Idempotency-Key: deposit-1" -d 'snowshoes 41'
%s=%s go run ./cmd/greengageroute status --entry %s

Ctrl-C stops it.
`, strings.Join(dev.entries, " and "), dev.entries[0], devKey, dev.entries[1%len(dev.entries)], devKey, tokenVariable, devToken, dev.entries[0])
}

// serve serves a handler on a free loopback port until the context ends.
func serveStandIn(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}
