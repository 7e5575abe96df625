package caller

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"auburnscale/inventory"
	"auburnscale/member"
)

// An identity represents who a request is run and billed for.
type identity struct {
	view      *member.View
	workspace *inventory.Workspace
	keyID     string
	open      bool
}

const bearer = "Bearer "

// identify finds the workspace: by an open route, or else by the key, which must
// be known, not withdrawn, and known to be so lately.
func (s *Server) identify(ctx *fasthttp.RequestCtx, service *inventory.Service, view *member.View, path string) (identity, *Failure) {
	if workspace, ok := view.Snapshot().OpenRoute(service.Name, path); ok {
		return identity{view: view, workspace: view.Snapshot().Workspace(workspace), open: true}, nil
	}
	who, failure := s.authenticate(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), view)
	if failure != nil {
		return who, failure
	}
	if !view.Snapshot().Allowed(who.workspace.Name, service.Name, time.Now()) {
		message := fmt.Sprintf("the rules do not let workspace %q use service %q now", who.workspace.Name, service.Name)
		return who, refuse(fasthttp.StatusForbidden, CodeNotAllowed, message)
	}
	return who, nil
}

func (s *Server) authenticate(header string, view *member.View) (identity, *Failure) {
	if !strings.HasPrefix(header, bearer) {
		return identity{}, refuse(fasthttp.StatusUnauthorized, CodeNoKey, "the request carries no key in \"Authorization: Bearer\"")
	}
	key := view.Snapshot().Authenticate(strings.TrimSpace(header[len(bearer):]))
	if key == nil {
		return identity{}, refuse(fasthttp.StatusUnauthorized, CodeBadKey, "the key is not known")
	}
	if view.Withdrawn(key.ID) {
		return identity{}, refuse(fasthttp.StatusUnauthorized, CodeWithdrawnKey, "the key was withdrawn")
	}
	workspace := view.Snapshot().Workspace(key.Workspace)
	if !s.parts.Views.Fresh() && !slices.Contains(workspace.Home, s.config.FailureDomain) {
		message := "this failure domain is cut off from the control group, so the key cannot be checked; another failure domain may serve it"
		return identity{}, refuse(fasthttp.StatusServiceUnavailable, CodeCutOff, message).after(time.Second)
	}
	return identity{view: view, workspace: workspace, keyID: key.ID}, nil
}

// stillAllowed reports whether the request may go on: its key has not been
// withdrawn since it was admitted.
func (s *Server) stillAllowed(who identity) bool {
	return who.open || !s.parts.Views.View().Withdrawn(who.keyID)
}

// view returns what the request is decided by, or a failure while the instance
// has no configuration.
func (s *Server) view() (*member.View, *Failure) {
	if !s.parts.Views.Ready() {
		return nil, refuse(fasthttp.StatusServiceUnavailable, CodeNotReady, "the instance has no configuration yet").after(time.Second)
	}
	return s.parts.Views.View(), nil
}
