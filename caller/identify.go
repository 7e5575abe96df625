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

// A callerIdentity is the workspace that a request runs and is billed for, with the
// key that proves it. The key ID is empty on an open route, which needs no key.
type callerIdentity struct {
	view      *member.View
	workspace *inventory.Workspace
	keyID     string
	open      bool
}

const bearerPrefix = "Bearer "

// identify determines the workspace of a request and checks that the rules allow it
// to use the service. An open route names the workspace; otherwise the key does.
func (s *Server) identify(ctx *fasthttp.RequestCtx, serviceSpec *inventory.Service, view *member.View, path string) (callerIdentity, *Failure) {
	if workspace, ok := view.Snapshot().OpenRoute(serviceSpec.Name, path); ok {
		return callerIdentity{view: view, workspace: view.Snapshot().Workspace(workspace), open: true}, nil
	}
	identity, failure := s.authenticate(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), view)
	if failure != nil {
		return identity, failure
	}
	if !view.Snapshot().Allowed(identity.workspace.Name, serviceSpec.Name, time.Now()) {
		message := fmt.Sprintf("the rules do not allow workspace %q to use service %q at this time", identity.workspace.Name, serviceSpec.Name)
		return identity, reject(fasthttp.StatusForbidden, CodeNotAllowed, message)
	}
	return identity, nil
}

// authenticate returns the identity for the key in an Authorization header. The key
// must be known and not withdrawn. If this instance's view is not fresh, it may have
// missed a withdrawal; it then accepts only keys of workspaces whose home failure
// domains include its own.
func (s *Server) authenticate(header string, view *member.View) (callerIdentity, *Failure) {
	if !strings.HasPrefix(header, bearerPrefix) {
		return callerIdentity{}, reject(fasthttp.StatusUnauthorized, CodeKeyMissing, "the request has no key in the header \"Authorization: Bearer\"")
	}
	key := view.Snapshot().Authenticate(strings.TrimSpace(header[len(bearerPrefix):]))
	if key == nil {
		return callerIdentity{}, reject(fasthttp.StatusUnauthorized, CodeKeyInvalid, "the key is unknown")
	}
	if view.Withdrawn(key.ID) {
		return callerIdentity{}, reject(fasthttp.StatusUnauthorized, CodeKeyWithdrawn, "the key was withdrawn")
	}
	workspace := view.Snapshot().Workspace(key.Workspace)
	if !s.deps.Views.Fresh() && !slices.Contains(workspace.Home, s.config.FailureDomain) {
		message := "this failure domain is cut off from the control group, so the key cannot be checked; another failure domain may serve it"
		return callerIdentity{}, reject(fasthttp.StatusServiceUnavailable, CodeCutOff, message).withRetryAfter(time.Second)
	}
	return callerIdentity{view: view, workspace: workspace, keyID: key.ID}, nil
}

// keyStillValid reports whether the request may continue: its key has not been
// withdrawn in the meantime. Requests on open routes have no key.
func (s *Server) keyStillValid(identity callerIdentity) bool {
	return identity.open || !s.deps.Views.View().Withdrawn(identity.keyID)
}

// view returns the current view of the configuration, by which the whole request is
// decided, or a failure while the instance has none.
func (s *Server) view() (*member.View, *Failure) {
	if !s.deps.Views.Ready() {
		return nil, reject(fasthttp.StatusServiceUnavailable, CodeNotReady, "the instance has no configuration yet").withRetryAfter(time.Second)
	}
	return s.deps.Views.View(), nil
}
