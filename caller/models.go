package caller

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"auburnscale/inventory"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models that the caller's workspace may currently use.
func (s *Server) models(ctx *fasthttp.RequestCtx) *Failure {
	view, failure := s.view()
	if failure != nil {
		return failure
	}
	identity, failure := s.authenticate(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), view)
	if failure != nil {
		return failure
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, serviceSpec := range view.Snapshot().Services() {
		if serviceSpec.Kind != inventory.EngineService || !view.Snapshot().Allowed(identity.workspace.Name, serviceSpec.Name, time.Now()) {
			continue
		}
		for _, m := range serviceSpec.Models {
			list.Data = append(list.Data, modelItem{ID: m, Object: "model", OwnedBy: serviceSpec.Name})
		}
	}
	return writeJSON(ctx, list)
}

// announcement is the body that a target sends when it starts.
type announcement struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// announce handles the announcement of a target that has started. It does not add
// targets: it only makes the next probe come sooner for a target that the inventory
// lists with that address, so it needs no authentication.
func (s *Server) announce(ctx *fasthttp.RequestCtx) *Failure {
	var announced announcement
	if err := json.Unmarshal(ctx.PostBody(), &announced); err != nil {
		return reject(fasthttp.StatusBadRequest, CodeBadRequest, "the announcement cannot be decoded: "+err.Error())
	}
	if !s.deps.Registry.Announce(announced.Name, announced.Address) {
		return reject(fasthttp.StatusNotFound, CodeNoTarget, fmt.Sprintf("the inventory has no target %q at address %q", announced.Name, announced.Address))
	}
	return writeJSON(ctx, announced)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) *Failure {
	data, err := json.Marshal(v)
	if err != nil {
		return failed(fasthttp.StatusInternalServerError, CodeBadRequest, err.Error())
	}
	ctx.SetContentType(jsonType)
	ctx.SetBody(data)
	return nil
}
