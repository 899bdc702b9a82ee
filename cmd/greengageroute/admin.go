package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	goahttp "goa.design/goa/v3/http"
	"greengageroute.example/greengageroute/caller"
	operatorclient "greengageroute.example/greengageroute/gen/http/operator/client"
	genoperator "greengageroute.example/greengageroute/gen/operator"
)

const (
	tokenVariable = "GREENGAGEROUTE_TOKEN"
	maxErrorBytes = 1 << 20
	// maxAnswerBytes limits an entry's answer; the longest lists a page of the audit trail.
	maxAnswerBytes = 64 << 20
)

type (
	// adminFlags are the flags that all operator commands share.
	adminFlags struct {
		entry     string
		tokenFile string
		output    string
	}

	// errorStatusDoer turns a response with an error status into an error: the
	// caller.Refusal that the entry sent. It bounds the others.
	errorStatusDoer struct{ next goahttp.Doer }
)

func (flags *adminFlags) register(flagSet *pflag.FlagSet) {
	flagSet.StringVar(&flags.entry, "entry", "127.0.0.1:8080", "address of the entry to use, IP:port")
	flagSet.StringVar(&flags.tokenFile, "token-file", "", "file that holds the operator's token; default is the variable "+tokenVariable)
	flagSet.StringVar(&flags.output, "output", "text", "output format, text or json")
}

func (flags *adminFlags) client() *genoperator.Client {
	endpoints := operatorclient.NewClient("http", flags.entry, errorStatusDoer{http.DefaultClient}, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return genoperator.NewClient(endpoints.Apply(), endpoints.File(), endpoints.Check(), endpoints.Status(), endpoints.Drain(), endpoints.Audit())
}

func (flags *adminFlags) authorization() (*string, error) {
	token := os.Getenv(tokenVariable)
	if flags.tokenFile != "" {
		text, err := os.ReadFile(flags.tokenFile)
		if err != nil {
			return nil, trace.Wrap(err, "reading the token")
		}
		token = strings.TrimSpace(string(text))
	}
	if token == "" {
		return nil, usageError{trace.BadParameter("no operator token; use --token-file or set %s", tokenVariable)}
	}
	header := "Bearer " + token
	return &header, nil
}

// print writes a result in the format of --output; text writes the text format.
func (flags *adminFlags) print(command *cobra.Command, value any, text func(io.Writer)) error {
	switch flags.output {
	case "json":
		encoder := json.NewEncoder(command.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case "text":
		text(command.OutOrStdout())
		return nil
	default:
		return usageError{trace.BadParameter("unknown output format %q; use text or json", flags.output)}
	}
}

// Do implements goahttp.Doer.
func (doer errorStatusDoer) Do(request *http.Request) (*http.Response, error) {
	response, err := doer.next.Do(request)
	if err != nil {
		return nil, &caller.Refusal{
			Status: http.StatusServiceUnavailable, Code: "no-entry",
			Message: fmt.Sprintf("entry %s did not respond (%v); select another with --entry", request.URL.Host, err),
		}
	}
	if response.StatusCode < http.StatusBadRequest {
		response.Body = http.MaxBytesReader(nil, response.Body, maxAnswerBytes)
		return response, nil
	}
	defer response.Body.Close()
	refusal := &caller.Refusal{Status: response.StatusCode}
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if json.Unmarshal(body, refusal) != nil || refusal.Message == "" {
		refusal.Message = fmt.Sprintf("the entry responded with status %s: %s", response.Status, body)
	}
	return nil, refusal
}

// fileName returns the configuration name for a path: the base name without the
// extension.
func fileName(path string) string {
	return strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
}

// currentFile returns the file in force, or an empty file of version 0 if none has
// the name.
func currentFile(ctx context.Context, client *genoperator.Client, header *string, name string) (*genoperator.FileInForce, error) {
	file, err := client.File(ctx, &genoperator.FilePayload{Authorization: header, Name: name})
	if isNotFound(err) {
		return &genoperator.FileInForce{Name: name}, nil
	}
	return file, err
}

func isNotFound(err error) bool {
	var refusal *caller.Refusal
	return errors.As(err, &refusal) && refusal.Status == http.StatusNotFound
}
