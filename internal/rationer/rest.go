package rationer

import "github.com/eelgrasshook/eelgrasshook/pkg/timer"

// ReturnSpan is the time after a rest in which the requests of this instance return to the server, a few at a time.
const ReturnSpan = timer.Second

// Rest stores that the server asked this instance to send it nothing before the given time, and reports whether that is later
// than what held before. Answers can overtake each other, so the latest time holds and not the latest answer.
func (r *Ration) Rest(until timer.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until <= r.restsUntil {
		return false
	}
	r.restsUntil = until
	return true
}

// RestsUntil returns the time before which the server gets nothing from this instance, because it asked for that.
func (r *Ration) RestsUntil() timer.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.restsUntil
}

// IsResting reports whether a server gets no further request of this instance now, because it asked for that.
func (r *Ration) IsResting(now timer.Millis, o Occupancy) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	sinceEnd := now - r.restsUntil
	if r.restsUntil == 0 || sinceEnd >= ReturnSpan {
		return false
	}
	return sinceEnd < 0 || timer.Millis(o.Own) > timer.Millis(o.Slots)*sinceEnd/ReturnSpan
}
