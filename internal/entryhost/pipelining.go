package entryhost

import (
	"context"
	"net"
	"net/http"

	"github.com/papayatide/papayatide/internal/dispatch"
	"github.com/papayatide/papayatide/internal/ingress"
	"github.com/papayatide/papayatide/internal/pipeline"
)

// callerContext stores a caller's connection in the context of its requests: for package
// pipeline, and for the dispatcher the wrapped one, whose socket it inspects.
func callerContext(ctx context.Context, c net.Conn) context.Context {
	return dispatch.WithCaller(pipeline.ConnContext(ctx, c), ingress.NetConn(pipeline.NetConn(c)))
}

// peerContext stores another host's connection in the context of its requests.
func peerContext(ctx context.Context, c net.Conn) context.Context {
	return dispatch.WithCaller(ctx, ingress.NetConn(c))
}

// hasIdempotentRoute reports whether the request's route is idempotent.
func (h *host) hasIdempotentRoute(r *http.Request) bool {
	state := h.views.Load().Desired
	if state == nil {
		return false
	}
	route := state.Match(r.Host, r.URL.Path)
	return route != nil && route.Idempotent
}
