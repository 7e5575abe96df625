package soak

import (
	"context"
	"fmt"
	"net/http"

	"auburnscale/platform/standin"
)

// oddCallers is the number of callers of one fault, each with a connection of its own.
const oddCallers = 12

// callOddly sends requests of callers that close their sending side at once, set a tiny deadline, or ask for the
// options of the server. None of them may get a success that no target gave. An operator sends a configuration of version 0.
func (r *faultRun) callOddly(ctx context.Context) {
	e, i, control := r.env, r.entry(), r.control()
	zero := standin.VersionZero()
	if status, err := zero.Send(ctx, e.client(operatorHost), e.at(control.host, operatorPort).String()); err == nil && status < http.StatusBadRequest {
		e.addFinding("odd calls are refused", "%s answered %s with status %d", control.name, zero, status)
	}
	for n := range oddCallers {
		call := standin.OddRequestOf(r.fault.Selector + n)
		call.ID, call.Host, call.Key = fmt.Sprintf("odd-%d-%d-%d", r.fault.Selector, r.fault.At.Milliseconds(), n), hostName, workspaceKey
		response, err := call.Send(ctx, e.ip(firstCallerHost+n%callerCount), e.at(i.host, entryPort).String(), callerTimeout)
		if err != nil {
			// The instance may be down, and may end the connection of a caller that seems to have left.
			continue
		}
		if response.StatusCode < 300 && !standin.Stamped(response.Header) {
			e.addFinding("successes come from targets", "%s answered %s with status %d", i.name, call, response.StatusCode)
		}
	}
}

// scriptBadResponses makes the next responses ones that are none of HTTP, or that are reset before the request has been
// read.
func (t *target) scriptBadResponses(which int) {
	behaviours := []standin.Behaviour{standin.BadStatus("000"), standin.BadStatus("600"), standin.ResetEarly(0), standin.BadStatus("101"), standin.BadStatus("099"), standin.BadStatus("999")}
	if t.stage == "prefill" {
		// As in scriptFailures.
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for n := range behaviours {
		t.current.Script(behaviours[(which+n)%len(behaviours)])
	}
}
