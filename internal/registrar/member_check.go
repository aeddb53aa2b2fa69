package registrar

import (
	"net/netip"
	"unicode"
	"unicode/utf8"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

const (
	// maxSequence is the largest whole number that every JSON writer keeps exactly.
	maxSequence = 1 << 53
	// maxIncarnation is the end of the year 9999 in milliseconds.
	maxIncarnation = 253_402_300_799_999
	// maxWarmUp is the longest time that a server may be slow after its start.
	maxWarmUp = 24 * timer.Hour
)

// Check returns the first reason why the row names no backend server to use. Rows come from other processes, whose numbers must
// not overflow here and whose text must survive every encoding.
func (m Member) Check() error {
	for field, text := range map[string]string{"name": m.Name, "service": m.Service, "data centre": m.DataCentre, "version": m.Version} {
		if !isPlainText(text) {
			return trace.BadParameter("the %s %q is not 1 to %d printable characters", field, text, maxNameChars)
		}
	}
	switch {
	case !isDialable(m.Address):
		return trace.BadParameter("the address %q is no IP literal with a port from 1 to 65535", m.Address)
	case m.Slots < 1 || m.Slots > maxCapacity:
		return trace.BadParameter("%d slots are not between 1 and %d", m.Slots, maxCapacity)
	case m.Sequence < 0 || m.Sequence > maxSequence:
		return trace.BadParameter("the sequence %d is not between 0 and %d", m.Sequence, maxSequence)
	case m.Incarnation < 1 || m.Incarnation > maxIncarnation:
		return trace.BadParameter("the incarnation %d is not between 1 and %d", m.Incarnation, maxIncarnation)
	case m.WarmUp < 0 || m.WarmUp > maxWarmUp:
		return trace.BadParameter("the warm-up time %v is not between 0 and %v", m.WarmUp, maxWarmUp)
	case m.State > MemberStateReplaced:
		return trace.BadParameter("the state %d is unknown", m.State)
	}
	return nil
}

// isDialable reports whether an address is an IP literal with a port that a connection can be opened to.
func isDialable(s string) bool {
	address, err := netip.ParseAddrPort(s)
	return err == nil && address.Port() != 0 && address.Addr().Zone() == "" && !address.Addr().IsUnspecified()
}

// isPlainText reports whether a name is text that can be logged, sent in a header and encoded. A decoder puts the replacement
// character in the place of bytes that are no text.
func isPlainText(s string) bool {
	if s == "" || len(s) > maxNameChars || !utf8.ValidString(s) {
		return false
	}
	for _, r := range s {
		if r == utf8.RuneError || !unicode.IsGraphic(r) {
			return false
		}
	}
	return true
}
