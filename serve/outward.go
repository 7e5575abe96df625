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

// orderKind is the kind of intents that change an engine's role.
const orderKind = "engine_order"

// orderPayload is the committed content of an engine order. The epoch is not
// part of it, since a successor sends the same content under its own.
type orderPayload struct {
	ID   string `json:"id"`
	Role string `json:"role"`
}

// orderSender sends engine orders.
type orderSender struct {
	engines *engine.Client
	views   authorityViews
}

// Send sends the committed order to the target that the inventory names.
func (o *orderSender) Send(ctx context.Context, name string, epoch uint64, payload []byte) (int, string, error) {
	var order orderPayload
	if err := json.Unmarshal(payload, &order); err != nil {
		return 0, "", fmt.Errorf("decode order: %w", err)
	}
	snapshot := o.views.View().Snapshot()
	if snapshot == nil {
		return 0, "", fmt.Errorf("no configuration is in force yet")
	}
	t := snapshot.Target(name)
	if t == nil {
		return statusGone, "the target left the inventory", nil
	}
	return o.engines.Order(ctx, t.Address, engine.Order{ID: order.ID, Epoch: epoch, Role: order.Role})
}

// statusGone closes an intent whose target is not there any more.
const statusGone = 410

// platformSender sends usage reports and target orders.
type platformSender struct {
	client *platform.Client
	path   string
}

// Send posts the committed payload.
func (s *platformSender) Send(ctx context.Context, _ string, epoch uint64, payload []byte) (int, string, error) {
	return s.client.Post(ctx, s.path, epoch, payload)
}

type authorityViews interface {
	target.ViewSource
}

// rolePlanner wants every engine in the role that the inventory gives it.
type rolePlanner struct {
	views authorityViews
	book  *target.Registry
	voter *voter.Voter
}

// Wanted returns an order for each engine whose reported role differs from the
// inventory's and that is not changing now.
func (r *rolePlanner) Wanted() []authority.Action {
	snapshot := r.views.View().Snapshot()
	if snapshot == nil {
		return nil
	}
	var actions []authority.Action
	for _, t := range snapshot.AllTargets() {
		service := snapshot.Service(t.Service)
		load := r.book.Load(t.Name)
		if service.Kind != inventory.EngineService || load == nil || load.AwayMs > 0 || load.Role == t.Role {
			continue
		}
		if action, ok := r.order(t, load.Incarnation); ok {
			actions = append(actions, action)
		}
	}
	return actions
}

// order names an order by the engine's incarnation and role, so that every pass
// over the same difference means the same order.
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
	payload, err := json.Marshal(orderPayload{ID: id, Role: t.Role})
	if err != nil {
		return authority.Action{}, false
	}
	return authority.Action{ID: id, Target: t.Name, Kind: orderKind, Payload: payload, Fenced: t.HonoursFencing}, true
}
