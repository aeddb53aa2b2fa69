package applier

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/auditor"
	"github.com/eelgrasshook/eelgrasshook/internal/changer"
	"github.com/eelgrasshook/eelgrasshook/internal/claimer"
	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
	"github.com/eelgrasshook/eelgrasshook/pkg/parser"
)

// TrialEnvironment is the environment whose documents can be promoted.
const TrialEnvironment = "trial"

// State is the state that the record replicates; one goroutine owns it.
type State struct {
	environments map[string]*changer.State
	claims       *claimer.Table
	trail        auditor.Trail
	policy       Policy
	rollOuts     map[string]RollOut
	evacuations  map[string]Evacuation
}

// snapshotData is the encoded form of the state in a snapshot.
type snapshotData struct {
	Environments []changer.Snapshot `cbor:"1,keyasint"`
	Claims       []claimer.Claim    `cbor:"2,keyasint"`
	Trail        auditor.Trail      `cbor:"3,keyasint"`
	Policy       Policy             `cbor:"4,keyasint,omitempty"`
	RollOuts     []RollOut          `cbor:"5,keyasint,omitempty"`
	Evacuations  []Evacuation       `cbor:"6,keyasint,omitempty"`
}

// NewState returns an empty state.
func NewState() *State {
	return &State{environments: map[string]*changer.State{}, claims: claimer.NewTable(nil), rollOuts: map[string]RollOut{},
		evacuations: map[string]Evacuation{}}
}

// Restore replaces the state by the state in a snapshot; an empty snapshot gives the empty state.
func (s *State) Restore(snapshot []byte) error {
	restored := NewState()
	if len(snapshot) > 0 {
		if err := restored.decodeSnapshot(snapshot); err != nil {
			return err
		}
	}
	*s = *restored
	return nil
}

func (s *State) decodeSnapshot(snapshot []byte) error {
	var d snapshotData
	if err := cbor.Unmarshal(snapshot, &d); err != nil {
		return trace.Wrap(err)
	}
	for _, e := range d.Environments {
		env, err := changer.RestoreState(e)
		if err != nil {
			return trace.Wrap(err, "environment %s", e.Environment)
		}
		s.environments[e.Environment] = env
	}
	s.claims = claimer.NewTable(d.Claims)
	s.trail = d.Trail
	s.policy = d.Policy
	for _, r := range d.RollOuts {
		s.rollOuts[r.Service] = r
	}
	for _, e := range d.Evacuations {
		s.evacuations[e.DataCentre] = e
	}
	return nil
}

// Snapshot returns the whole state in CBOR.
func (s *State) Snapshot() ([]byte, error) {
	d := snapshotData{Claims: s.claims.Claims(), Trail: s.trail, Policy: s.policy, RollOuts: s.RollOuts(), Evacuations: s.Evacuations()}
	for _, name := range s.Environments() {
		d.Environments = append(d.Environments, s.environments[name].Snapshot())
	}
	raw, err := cbor.Marshal(d)
	return raw, trace.Wrap(err)
}

// Environments returns the names of all environments, sorted.
func (s *State) Environments() []string {
	return slices.Sorted(maps.Keys(s.environments))
}

// Environment returns the documents of an environment, nil before its first change.
func (s *State) Environment(name string) *changer.State {
	return s.environments[name]
}

// InDoubt returns the claims with an unknown outcome.
func (s *State) InDoubt() []claimer.Claim {
	return s.claims.InDoubt()
}

// Trail returns the audit trail, oldest entry first.
func (s *State) Trail() []auditor.Entry {
	return s.trail.Entries
}

// Apply applies a command from the replicated log; it fails when the command cannot be decoded, when the audit entry
// cannot be appended, or on an unexpected refusal.
func (s *State) Apply(raw []byte) (Result, error) {
	var c Command
	if err := cbor.Unmarshal(raw, &c); err != nil {
		return Result{}, trace.Wrap(err)
	}
	switch {
	case c.Change != nil:
		return s.applyChange(*c.Change)
	case c.PublishPolicy != nil:
		return s.publishPolicy(c.At, *c.PublishPolicy)
	case c.StartRollOut != nil:
		return s.startRollOut(c.At, *c.StartRollOut)
	case c.EndRollOut != nil:
		return s.settleRollOut(c.At, *c.EndRollOut)
	case c.Evacuate != nil:
		return s.evacuate(c.At, *c.Evacuate)
	case c.AcquireClaim != nil:
		claim := s.claims.Acquire(*c.AcquireClaim)
		return Result{Claim: &claim}, nil
	case c.SettleClaim != nil:
		claim := s.claims.Settle(*c.SettleClaim)
		return Result{Claim: &claim}, nil
	case c.InstanceStarted != nil:
		s.claims.MarkUnknown(c.InstanceStarted.Instance, c.InstanceStarted.Incarnation)
	case c.ExpireClaims != nil:
		s.claims.Expire(c.ExpireClaims.RunningCutoff, c.ExpireClaims.SettledCutoff)
	case c.InForce != nil:
		e := auditor.Entry{
			At: c.At, Kind: auditor.KindInForce, Environment: c.InForce.Environment, ToRevision: c.InForce.Revision, DataCentre: c.InForce.DataCentre,
		}
		_, err := s.trail.Append(e)
		return Result{}, err
	}
	return Result{}, nil
}

func (s *State) applyChange(c changer.Change) (Result, error) {
	env, known := s.environments[c.Environment]
	if !known {
		env = changer.NewState(c.Environment)
	}
	// A resent change gets its first answer, even if other environments have changed since.
	if accepted, resent, err := env.FindAccepted(c); err != nil || resent {
		return changeResult(accepted, err)
	}
	doc, parseErr := parser.Parse(c.Environment, c.Text)
	if err := s.checkAcrossEnvironments(c, doc, parseErr); err != nil {
		return changeResult(changer.Accepted{}, err)
	}
	accepted, _, err := env.Apply(c, doc, parseErr)
	if err != nil {
		return changeResult(accepted, err)
	}
	s.environments[c.Environment] = env
	e := auditor.Entry{
		At: c.At, Kind: auditor.KindAccepted, Environment: c.Environment, ChangeID: c.ID, Author: c.Author,
		FromRevision: c.BaseRevision, ToRevision: accepted.Revision, Effects: accepted.Effects,
	}
	_, err = s.trail.Append(e)
	return Result{Accepted: &accepted}, err
}

// changeResult turns an accepted change or a refusal into a result, which is the same on every member.
func changeResult(accepted changer.Accepted, err error) (Result, error) {
	if err != nil {
		return refusalResult(err)
	}
	return Result{Accepted: &accepted}, nil
}

// checkAcrossEnvironments enforces the rules between environments: a promoted revision must be the trial's current one,
// and no two environments share a key.
func (s *State) checkAcrossEnvironments(c changer.Change, doc *parser.Document, parseErr error) error {
	if c.TrialRevision > 0 {
		trial := s.environments[TrialEnvironment]
		if trial == nil || trial.Revision() != c.TrialRevision {
			current := int64(0)
			if trial != nil {
				current = trial.Revision()
			}
			return &changer.ConflictError{Environment: TrialEnvironment, BaseRevision: c.TrialRevision, CurrentRevision: current}
		}
	}
	if parseErr != nil {
		return parseErr
	}
	return s.checkKeysUnique(c.Environment, doc)
}

// checkKeysUnique refuses a key that a workspace of another environment uses, so that the key of a request identifies
// one environment.
func (s *State) checkKeysUnique(environment string, doc *parser.Document) error {
	for _, name := range s.Environments() {
		if name == environment {
			continue
		}
		if w, ok := sharedKey(s.environments[name].Document(), doc); ok {
			reason := fmt.Sprintf("workspace %s has a key that environment %s uses too; give it a key of its own", w, name)
			return &changer.InvalidError{Reason: reason}
		}
	}
	return nil
}

func sharedKey(a, b *parser.Document) (string, bool) {
	used := map[decoder.Digest]bool{}
	for _, w := range a.Workspaces {
		for _, digest := range w.KeyDigests {
			used[digest] = true
		}
	}
	for _, w := range b.Workspaces {
		if slices.ContainsFunc(w.KeyDigests, func(d decoder.Digest) bool { return used[d] }) {
			return w.Name, true
		}
	}
	return "", false
}

func refusalResult(err error) (Result, error) {
	var r Result
	if errors.As(err, &r.Conflict) || errors.As(err, &r.Reused) || errors.As(err, &r.Invalid) {
		return r, nil
	}
	var problems decoder.Problems
	if errors.As(err, &problems) {
		r.Problems = problems
		return r, nil
	}
	return r, fmt.Errorf("unexpected refusal: %w", err)
}
