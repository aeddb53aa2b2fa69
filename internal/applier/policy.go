package applier

import (
	"github.com/eelgrasshook/eelgrasshook/internal/auditor"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Policy is a document that an operator sent, with its text compressed; the highest version is in force.
type Policy struct {
	Version int64  `cbor:"1,keyasint"`
	Text    []byte `cbor:"2,keyasint"`
}

// Policy returns the policy in force; its version is 0 before the first one is published.
func (s *State) Policy() Policy {
	return s.policy
}

// publishPolicy puts the policy in force if its version is higher. A policy with the same or a lower version is
// acknowledged but changes nothing.
func (s *State) publishPolicy(at timer.Millis, p Policy) (Result, error) {
	if p.Version <= s.policy.Version && len(s.policy.Text) > 0 {
		return Result{Version: s.policy.Version}, nil
	}
	e := auditor.Entry{At: at, Kind: auditor.KindPublished, FromRevision: s.policy.Version, ToRevision: p.Version}
	s.policy = p
	_, err := s.trail.Append(e)
	return Result{Version: p.Version}, err
}
