package coordinator

import (
	"context"
	"slices"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/applier"
	"github.com/eelgrasshook/eelgrasshook/internal/auditor"
	"github.com/eelgrasshook/eelgrasshook/internal/claimer"
)

// errNotMember reports that this instance has no accepted state to read, since it is not a member of the record.
var errNotMember = trace.NotFound("this instance is no member of the record; ask one that has a data folder")

// AuditTrail returns the audit trail as far as this member of the record has applied it.
func (c *Coordinator) AuditTrail(ctx context.Context) ([]auditor.Entry, error) {
	var list []auditor.Entry
	err := c.read(ctx, func(s *applier.State) { list = slices.Clone(s.Trail()) })
	return list, err
}

// DocumentText returns the document text of a revision; it returns a not-found error if the record no longer has the
// revision.
func (c *Coordinator) DocumentText(ctx context.Context, environment string, revision int64) (string, error) {
	text, known := "", false
	err := c.read(ctx, func(s *applier.State) {
		if env := s.Environment(environment); env != nil {
			text, known = env.Text(revision)
		}
	})
	if err == nil && !known {
		return "", trace.NotFound("revision %d of environment %s is not remembered", revision, environment)
	}
	return text, err
}

// ClaimsInDoubt returns the claims with an unknown outcome, or none on an instance that is not a member of the record.
func (c *Coordinator) ClaimsInDoubt(ctx context.Context) []claimer.Claim {
	list := []claimer.Claim{}
	if err := c.read(ctx, func(s *applier.State) { list = append(list, s.InDoubt()...) }); err != nil {
		c.deps.Telemetry.Log.Debug("claims in doubt cannot be read", "error", err)
	}
	return list
}

// read calls f with the accepted state of this member of the record.
func (c *Coordinator) read(ctx context.Context, f func(*applier.State)) error {
	if c.deps.Record == nil {
		return errNotMember
	}
	return c.deps.Record.ReadLocal(ctx, f)
}
