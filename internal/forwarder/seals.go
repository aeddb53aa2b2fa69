package forwarder

import (
	"errors"
	"net/http"
	"sync"

	"github.com/eelgrasshook/eelgrasshook/internal/exchanger"
)

// errNoSeal is the error of a success that does not bear the seal of its service.
var errNoSeal = errors.New("the response does not bear the seal of its server")

// seals knows which services seal their responses: all servers of a service do, or none.
type seals struct {
	services sync.Map
}

// isMissing reports whether a success lacks the seal, so that its header was spoiled on its way.
func (s *seals) isMissing(service string, res *exchanger.Response) bool {
	if res.Info.IsSealed {
		s.services.LoadOrStore(service, true)
		return false
	}
	if res.Info.NotRun || res.StatusCode >= http.StatusMultipleChoices {
		return false
	}
	_, isUsual := s.services.Load(service)
	return isUsual
}
