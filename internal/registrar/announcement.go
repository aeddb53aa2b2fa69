package registrar

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Kind is the type of program that a backend server runs.
type Kind string

// The kinds of backend servers.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Load is the number of requests that a backend server reported as running and waiting; it lags behind the real load.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Announcement is the heartbeat that a backend server sends about once a second.
type Announcement struct {
	Name          string       `json:"name"`
	Incarnation   int64        `json:"incarnation"`
	Sequence      int64        `json:"sequence"`
	Address       string       `json:"address"`
	DataCentre    string       `json:"data-centre"`
	Kind          Kind         `json:"kind"`
	Service       string       `json:"service,omitempty"`
	EngineNames   []string     `json:"engine-names,omitempty"`
	Capacity      int          `json:"capacity"`
	Load          Load         `json:"load"`
	ReturnAt      timer.Millis `json:"return-at,omitempty"`
	ChecksFencing bool         `json:"checks-fencing,omitempty"`
	Leaving       bool         `json:"leaving,omitempty"`
}

// Bounds on the fields of an announcement.
const (
	maxCapacity    = 100_000
	maxEngineNames = 256
	maxNameChars   = 128
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)

// FieldError names an invalid field of an announcement and the reason.
type FieldError struct {
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

// Error returns the field and the reason.
func (e FieldError) Error() string {
	return e.Field + ": " + e.Reason
}

// FieldErrors lists every invalid field of one announcement.
type FieldErrors []FieldError

// Error returns all field errors on one line.
func (es FieldErrors) Error() string {
	parts := make([]string, len(es))
	for i, e := range es {
		parts[i] = e.Error()
	}
	return strings.Join(parts, "; ")
}

// Check validates the announcement; it returns every invalid field as FieldErrors, or nil.
func (a Announcement) Check() error {
	var es FieldErrors
	require := func(ok bool, field, format string, args ...any) {
		if !ok {
			es = append(es, FieldError{Field: field, Reason: fmt.Sprintf(format, args...)})
		}
	}
	require(validName(a.Name), "name", "%q is not a name of 1 to %d letters, digits, dots, hyphens", a.Name, maxNameChars)
	require(validName(a.DataCentre), "data-centre", "%q is not a name", a.DataCentre)
	require(a.Incarnation > 0, "incarnation", "%d is not above 0", a.Incarnation)
	require(a.Sequence >= 0, "sequence", "%d is below 0", a.Sequence)
	require(a.Capacity > 0 && a.Capacity <= maxCapacity, "capacity", "%d is not between 1 and %d", a.Capacity, maxCapacity)
	require(a.Load.Running >= 0, "load.running", "%d is below 0", a.Load.Running)
	require(a.Load.Waiting >= 0, "load.waiting", "%d is below 0", a.Load.Waiting)
	require(a.ReturnAt >= 0, "return-at", "%d is below 0", a.ReturnAt)
	_, err := netip.ParseAddrPort(a.Address)
	require(err == nil, "address", "%q is not an IP literal with a port", a.Address)
	a.checkKind(require)
	if len(es) == 0 {
		return nil
	}
	return es
}

func (a Announcement) checkKind(require func(ok bool, field, format string, args ...any)) {
	switch a.Kind {
	case KindEngine:
		require(a.Service == "", "service", "an engine names no service")
		n := len(a.EngineNames)
		require(n <= maxEngineNames, "engine-names", "%d names, at most %d", n, maxEngineNames)
		for _, name := range a.EngineNames {
			require(validName(name), "engine-names", "%q is not a name", name)
		}
	case KindService:
		require(validName(a.Service), "service", "%q is not a name", a.Service)
		require(len(a.EngineNames) == 0, "engine-names", "a plain service has none")
	default:
		require(false, "kind", "%q is neither %s nor %s", a.Kind, KindEngine, KindService)
	}
}

func validName(s string) bool {
	return len(s) <= maxNameChars && namePattern.MatchString(s)
}
