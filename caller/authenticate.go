package caller

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	greengageroute "greengageroute.example/greengageroute"
)

// BearerToken returns the bearer token of an Authorization header.
func BearerToken(header *string) (string, error) {
	if header == nil {
		return "", trace.AccessDenied("the request has no Authorization header; send \"Authorization: Bearer KEY\"")
	}
	scheme, token, found := strings.Cut(*header, " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", trace.AccessDenied("the Authorization header is not \"Bearer KEY\"; correct it")
	}
	return token, nil
}

func (service *Service) authenticate(header *string) (greengageroute.Workspace, error) {
	key, err := BearerToken(header)
	if err == nil {
		var workspace greengageroute.Workspace
		if workspace, err = service.state.Config().WorkspaceByKey(key); err == nil {
			return workspace, nil
		}
	}
	service.counters.Add(CountDenied, 1)
	return greengageroute.Workspace{}, err
}

// checkAllowed returns an error if a workspace's list of allowed names lacks name.
func checkAllowed(allowed []string, kind, name, workspace string) error {
	if !slices.Contains(allowed, name) {
		return &Refusal{
			Status: http.StatusForbidden, Code: "forbidden",
			Message: fmt.Sprintf("workspace %q may not use %s %q; add it to the workspace in its configuration file", workspace, kind, name),
		}
	}
	return nil
}
