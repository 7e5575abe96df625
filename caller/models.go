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

// models lists the models that the caller's workspace may use now.
func (s *Server) models(ctx *fasthttp.RequestCtx) *Failure {
	view, failure := s.view()
	if failure != nil {
		return failure
	}
	who, failure := s.authenticate(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), view)
	if failure != nil {
		return failure
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, service := range view.Snapshot().Services() {
		if service.Kind != inventory.EngineService || !view.Snapshot().Allowed(who.workspace.Name, service.Name, time.Now()) {
			continue
		}
		for _, m := range service.Models {
			list.Data = append(list.Data, modelItem{ID: m, Object: "model", OwnedBy: service.Name})
		}
	}
	return writeJSON(ctx, list)
}

// announcement is what a target says of itself when it starts.
type announcement struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// announce takes note of a target that says it has started. It opens no way in:
// only a target that the inventory holds under that address is probed sooner.
func (s *Server) announce(ctx *fasthttp.RequestCtx) *Failure {
	var said announcement
	if err := json.Unmarshal(ctx.PostBody(), &said); err != nil {
		return refuse(fasthttp.StatusBadRequest, CodeBadRequest, "the announcement cannot be read: "+err.Error())
	}
	if !s.parts.Registry.Announce(said.Name, said.Address) {
		return refuse(fasthttp.StatusNotFound, CodeNoTarget, fmt.Sprintf("the inventory holds no target %q at %q", said.Name, said.Address))
	}
	return writeJSON(ctx, said)
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
