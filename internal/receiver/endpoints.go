package receiver

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/google/uuid"
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

func (h *Handler) serveModelList(w http.ResponseWriter, r *http.Request) {
	reply := NewReply(w, h.deps.Limits.CallerStallTimeout)
	id := uuid.NewString()
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	_, ws, ok := h.deps.ViewSet().Workspace(key)
	if !ok {
		h.writeRefusal(reply, id, NewRefusal(http.StatusUnauthorized, "unknown-api-key", "no workspace has this key"))
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range ws.Models {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: ws.Name})
	}
	body, err := json.Marshal(list)
	if err != nil {
		h.writeRefusal(reply, id, err)
		return
	}
	reply.Header().Set("Content-Type", "application/json")
	if err := reply.WriteAll(http.StatusOK, body); err != nil {
		h.deps.Telemetry.Log.Debug("caller left", "request", id, "error", err)
	}
}

func (h *Handler) serveHealth(w http.ResponseWriter, _ *http.Request) {
	h.writePlainText(w, http.StatusOK, "ok\n")
}

func (h *Handler) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if err := h.deps.CheckReady(); err != nil {
		h.writePlainText(w, http.StatusServiceUnavailable, err.Error()+"\n")
		return
	}
	h.writePlainText(w, http.StatusOK, "ready\n")
}

func (h *Handler) writePlainText(w http.ResponseWriter, status int, text string) {
	reply := NewReply(w, h.deps.Limits.CallerStallTimeout)
	reply.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if err := reply.WriteAll(status, []byte(text)); err != nil {
		h.deps.Telemetry.Log.Debug("caller left", "error", err)
	}
}

func (h *Handler) refuseUnknownPath(w http.ResponseWriter, r *http.Request) {
	reply := NewReply(w, h.deps.Limits.CallerStallTimeout)
	message := "nothing is served at " + r.Method + " " + r.URL.Path
	h.writeRefusal(reply, uuid.NewString(), NewRefusal(http.StatusNotFound, "unknown-path", message))
}
