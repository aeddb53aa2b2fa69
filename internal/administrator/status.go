package administrator

import (
	"github.com/eelgrasshook/eelgrasshook/internal/claimer"
	"github.com/eelgrasshook/eelgrasshook/internal/coordinator"
	"github.com/eelgrasshook/eelgrasshook/internal/indexer"
	"github.com/eelgrasshook/eelgrasshook/internal/recorder"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Status is the state that an instance reports to operators.
type Status struct {
	Instance       string                  `json:"instance"`
	DataCentre     string                  `json:"data-centre"`
	Revisions      map[string]int64        `json:"revisions"`
	State          string                  `json:"state"`
	Mode           indexer.Mode            `json:"mode"`
	Running        int                     `json:"running"`
	Waiting        int                     `json:"waiting"`
	Record         *RecordStatus           `json:"record,omitempty"`
	Peers          []coordinator.PeerState `json:"peers"`
	BackendServers []ServerStatus          `json:"backend-servers"`
	InDoubt        []claimer.Claim         `json:"in-doubt"`
	Degraded       []Degradation           `json:"degraded"`
}

// RecordStatus is an instance's view of the replicated record that it is a member of.
type RecordStatus struct {
	Leader      string `json:"leader"`
	Term        uint64 `json:"term"`
	CommitIndex uint64 `json:"commit"`
	// IsLeader reports whether this instance leads and holds the lease.
	IsLeader bool `json:"leads"`
	// IsVoter reports whether this instance, with its current disk, is a voter and counts in the quorum.
	IsVoter  bool     `json:"votes"`
	Voters   []string `json:"voters"`
	Learners []string `json:"learners"`
}

// NewRecordStatus converts the status of a member of the record.
func NewRecordStatus(s recorder.Status) *RecordStatus {
	return &RecordStatus{
		Leader: recorder.InstanceOf(s.Leader), Term: s.Term, CommitIndex: s.CommitIndex, IsLeader: s.HoldsLease, IsVoter: s.Members.IsVoter(s.ID),
		Voters: instanceNames(s.Members.Voters), Learners: instanceNames(s.Members.Learners),
	}
}

func instanceNames(ids []replicator.ID) []string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = recorder.InstanceOf(id)
	}
	return names
}

// ServerStatus is an instance's view of one backend server.
type ServerStatus struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	// Serves lists the loaded engine names, or the one service.
	Serves   []string        `json:"runs"`
	State    registrar.State `json:"state"`
	Since    timer.Millis    `json:"since"`
	LastSeen timer.Millis    `json:"last-seen"`
	InFlight int64           `json:"in-flight"`
	Started  int64           `json:"started"`
	Failed   int64           `json:"failed"`
	Capacity int             `json:"capacity"`
}

// Degradation describes one degraded condition and when it began.
type Degradation struct {
	Description string       `json:"what"`
	Since       timer.Millis `json:"since"`
}

// NewServerStatus converts a row of the server table.
func NewServerStatus(b registrar.BackendServer) ServerStatus {
	runs := b.EngineNames
	if b.Kind == registrar.KindService {
		runs = []string{b.Service}
	}
	return ServerStatus{
		Name: b.Name, Address: b.Address, DataCentre: b.DataCentre, Serves: runs, State: b.State, Since: b.StateSince,
		LastSeen: b.LastSeen, InFlight: b.Traffic.InFlight.Load(), Started: b.Traffic.Started.Load(),
		Failed: b.Traffic.Failed.Load(), Capacity: b.Capacity,
	}
}
