package forwarder

import (
	"strconv"

	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// leavingRest is for how long other instances are asked to leave a server alone that is leaving. It ends with the incarnation.
const leavingRest = 10 * timer.Minute

// recordLeaving stops new requests to a server whose response says that it is leaving, for the rest of its incarnation. The
// request in progress goes on.
func (t *task) recordLeaving(x *exchange) {
	s, info := x.server, x.res.Info
	if info.InvalidLeaving != "" {
		t.f.deps.Telemetry.Log.Warn("backend server says what is not understood of its leaving", "server", s.Name,
			"value", strconv.Quote(info.InvalidLeaving), "request", t.ID)
	}
	if !info.IsLeaving || !s.isLeaving.CompareAndSwap(false, true) {
		return
	}
	t.f.deps.Telemetry.Counter("servers.said-leaving").Inc(1)
	t.f.deps.Telemetry.Log.Info("backend server says that it is leaving", "server", s.Name, "incarnation", s.Incarnation, "request", t.ID)
	x.conn.ReportRest(leavingRest)
	t.f.deps.OnServerLeaving(registrar.Withdrawal{Name: s.Name, Incarnation: s.Incarnation})
}
