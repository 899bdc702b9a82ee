package main

import (
	"crypto/rand"
	"fmt"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	greengageroute "greengageroute.example/greengageroute"
	"greengageroute.example/greengageroute/peer"
)

const (
	keysUsage = `Creates the keys with which entries authenticate to one another.

The directory receives a certificate authority and the key that authenticates
event ids, unless they exist already, and a certificate and key for each entry.
An entry needs authority.pem, event.key and its own two files; authority.key
stays with the operators. Entries read replaced files without a restart.`

	tokenUsage = `Creates a random operator token or workspace key, and its hash for a
configuration file.`

	keyFileMode   = 0o600
	directoryMode = 0o700
	eventKeyBytes = 32
)

func newKeysCommand() *cobra.Command {
	directory := "keys"
	command := &cobra.Command{
		Use: "keys ENTRY...", Short: "Create the entries' keys", Long: keysUsage, Args: cobra.MinimumNArgs(1),
		Example: "  greengageroute keys --directory keys entry-1 entry-2",
		RunE: func(_ *cobra.Command, args []string) error {
			return makeKeys(directory, args)
		},
	}
	command.Flags().StringVar(&directory, "directory", directory, "directory for the files")
	return command
}

func newTokenCommand() *cobra.Command {
	return &cobra.Command{
		Use: "token", Short: "Create a token and its hash", Long: tokenUsage, Args: cobra.NoArgs, Example: "  greengageroute token",
		RunE: func(command *cobra.Command, _ []string) error {
			token := rand.Text() + rand.Text()
			fmt.Fprintf(command.OutOrStdout(), "token: %s\nhash:  %s\n", token, greengageroute.HashKey(token))
			return nil
		},
	}
}

func makeKeys(directory string, entries []string) error {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return trace.Wrap(err)
	}
	authority, err := readOrMakeAuthority(directory)
	if err != nil {
		return err
	}
	if err := makeEventKey(filepath.Join(directory, "event.key")); err != nil {
		return err
	}
	for _, name := range entries {
		pair, err := peer.NewEntryKeys(authority, name)
		if err != nil {
			return err
		}
		if err := writePair(directory, name, pair); err != nil {
			return err
		}
	}
	return nil
}

func readOrMakeAuthority(directory string) (peer.KeyPair, error) {
	certificate, err := os.ReadFile(filepath.Join(directory, "authority.pem"))
	if os.IsNotExist(err) {
		authority, err := peer.NewAuthority()
		if err != nil {
			return authority, err
		}
		return authority, writePair(directory, "authority", authority)
	}
	if err != nil {
		return peer.KeyPair{}, trace.Wrap(err)
	}
	key, err := os.ReadFile(filepath.Join(directory, "authority.key"))
	return peer.KeyPair{Certificate: certificate, Key: key}, trace.Wrap(err)
}

func makeEventKey(path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	key := make([]byte, eventKeyBytes)
	_, _ = rand.Read(key) // never fails
	return trace.Wrap(os.WriteFile(path, key, keyFileMode))
}

func writePair(directory, name string, pair peer.KeyPair) error {
	if err := os.WriteFile(filepath.Join(directory, name+".pem"), pair.Certificate, keyFileMode); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(os.WriteFile(filepath.Join(directory, name+".key"), pair.Key, keyFileMode))
}
