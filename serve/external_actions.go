package serve

import (
	"context"
	"encoding/json"
	"fmt"

	"auburnscale/authority"
	"auburnscale/control"
	"auburnscale/engine"
	"auburnscale/inventory"
	"auburnscale/platform"
	"auburnscale/target"
	"auburnscale/voter"
)

// roleOrderKind is the kind of the intents that change an engine's role.
const roleOrderKind = "engine_order"

// roleOrderPayload is the committed content of an order that changes an engine's
// role. The epoch is not part of it, since a new leader sends the same content
// under its own epoch.
type roleOrderPayload struct {
	ID   string `json:"id"`
	Role string `json:"role"`
}

// roleOrderSender sends role orders to engines.
type roleOrderSender struct {
	engines *engine.Client
	views   viewSource
}

// Send sends the committed order to the named target at its address in the
// inventory and returns the response's status and detail. If the inventory no
// longer has the target, it returns statusGone.
func (o *roleOrderSender) Send(ctx context.Context, name string, epoch uint64, payload []byte) (int, string, error) {
	var order roleOrderPayload
	if err := json.Unmarshal(payload, &order); err != nil {
		return 0, "", fmt.Errorf("decode role order: %w", err)
	}
	snapshot := o.views.View().Snapshot()
	if snapshot == nil {
		return 0, "", fmt.Errorf("no configuration is in effect yet")
	}
	t := snapshot.Target(name)
	if t == nil {
		return statusGone, "the target left the inventory", nil
	}
	return o.engines.Order(ctx, t.Address, engine.Order{ID: order.ID, Epoch: epoch, Role: order.Role})
}

// statusGone is the status with which an intent is closed if its target no longer
// exists.
const statusGone = 410

// platformSender posts committed payloads to a path of the platform's API.
type platformSender struct {
	client *platform.Client
	path   string
}

// Send posts the committed payload and returns the response's status and detail.
func (s *platformSender) Send(ctx context.Context, _ string, epoch uint64, payload []byte) (int, string, error) {
	return s.client.Post(ctx, s.path, epoch, payload)
}

type viewSource interface {
	target.ViewSource
}

// rolePlanner plans orders that bring every engine into the role that the
// inventory gives it. It implements authority.Planner.
type rolePlanner struct {
	views    viewSource
	registry *target.Registry
	voter    *voter.Voter
}

// Wanted returns an order for each engine whose reported role differs from the
// inventory's, except engines that are switching.
func (r *rolePlanner) Wanted() []authority.Action {
	snapshot := r.views.View().Snapshot()
	if snapshot == nil {
		return nil
	}
	var actions []authority.Action
	for _, t := range snapshot.AllTargets() {
		service := snapshot.Service(t.Service)
		load := r.registry.Load(t.Name)
		if service.Kind != inventory.EngineService || load == nil || load.AwayMs > 0 || load.Role == t.Role {
			continue
		}
		if action, ok := r.order(t, load.Incarnation); ok {
			actions = append(actions, action)
		}
	}
	return actions
}

// order returns the order that brings the target into its role, and false if an
// intent for the target is open or the order was already issued. The order's id
// consists of the target's name, its incarnation and the role, so that repeated
// passes over the same difference yield the same order.
func (r *rolePlanner) order(t inventory.Target, incarnation string) (authority.Action, bool) {
	var last string
	var open bool
	r.voter.Read(func(m *control.Machine) {
		if i := m.Intent(t.Name); i != nil {
			last, open = i.Id, !i.Done
		}
	})
	if open {
		return authority.Action{}, false
	}
	id := fmt.Sprintf("role-%s-%s-%s", t.Name, incarnation, t.Role)
	if id == last {
		return authority.Action{}, false
	}
	payload, err := json.Marshal(roleOrderPayload{ID: id, Role: t.Role})
	if err != nil {
		return authority.Action{}, false
	}
	return authority.Action{ID: id, Target: t.Name, Kind: roleOrderKind, Payload: payload, Fenced: t.HonoursFencing}, true
}
