package forwarder

import (
	"context"
	"net/http"

	"github.com/eelgrasshook/eelgrasshook/internal/matcher"
)

// Check returns the refusal of a request that no route or key allows, nil if one may. It spares the reading of a large body that would
// be refused.
func (f *Forwarder) Check(ctx context.Context, req *Request) *Refusal {
	f.awaitPolicy(ctx)
	f.deps.AwaitCurrent(ctx)
	p := f.fleetView.Load().Policy
	if p == nil {
		return nil
	}
	_, _, refusal := matchRequest(p, req)
	return refusal
}

// matchRequest returns the route and the workspace of a request, or the refusal if there is none; the workspace is nil where the
// route needs none.
func matchRequest(p *matcher.Policy, req *Request) (*matcher.Route, *matcher.Workspace, *Refusal) {
	route := p.MatchRoute(req.Host, req.Path)
	if route == nil {
		return nil, nil, &Refusal{Status: http.StatusNotFound, Reason: "no route matches"}
	}
	if len(p.Workspaces) == 0 || route.AuthExempt {
		return route, nil, nil
	}
	w := p.WorkspaceByKey(req.APIKey)
	if w == nil {
		return route, nil, &Refusal{Status: http.StatusUnauthorized, Reason: "the key is unknown"}
	}
	return route, w, nil
}
