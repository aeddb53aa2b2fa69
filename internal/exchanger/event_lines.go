package exchanger

import (
	"bytes"
	"strconv"
)

// validEventsLen returns the length of the events before the first one with a line that belongs to no event. Lines with fields
// of unknown names are valid, other text is not: an error, or the head of another answer.
func validEventsLen(events []byte) int {
	valid, length := 0, 0
	for line := range bytes.Lines(events) {
		text := bytes.TrimRight(line, "\r\n")
		if length == 0 {
			text = bytes.TrimPrefix(text, []byte("\uFEFF"))
		}
		length += len(line)
		switch {
		case len(text) == 0:
			valid = length
		case !isEventLine(text):
			return valid
		}
	}
	return valid
}

// isEventLine reports whether a line is a comment or a field.
func isEventLine(line []byte) bool {
	name, _, hasValue := bytes.Cut(line, []byte(":"))
	if !hasValue {
		return isEventField(string(name))
	}
	for _, c := range name {
		isLetter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !isLetter && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// isEventField reports whether a name is that of a field that events have.
func isEventField(name string) bool {
	switch name {
	case "data", "event", "id", "retry":
		return true
	}
	return false
}

// HasIncreasingIDs reports whether the ids of events that are numbers increase, from the given id on. Other ids are not compared.
func HasIncreasingIDs(lastID string, events []byte) bool {
	last, err := strconv.ParseInt(lastID, 10, 64)
	isKnown := err == nil
	for line := range bytes.Lines(events) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if string(name) != "id" {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			continue
		}
		if isKnown && id <= last {
			return false
		}
		last, isKnown = id, true
	}
	return true
}

// ContinueStream reports whether events can follow the one with the given id in a stream: each one has an id, and ids that are
// numbers increase.
func ContinueStream(lastID string, events []byte) bool {
	hasFields, id := false, ""
	for line := range bytes.Lines(events) {
		text := bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(text, []byte(":"))
		switch {
		case len(text) > 0:
			hasFields = hasFields || len(name) > 0
			if string(name) == "id" {
				id = string(bytes.TrimSpace(value))
			}
			continue
		case hasFields && !isLater(lastID, id):
			return false
		case hasFields:
			lastID = id
		}
		hasFields, id = false, ""
	}
	return true
}

// isLater reports whether an event with an id can follow the one with the id last.
func isLater(last, id string) bool {
	lastNumber, lastErr := strconv.ParseInt(last, 10, 64)
	number, err := strconv.ParseInt(id, 10, 64)
	if lastErr != nil || err != nil {
		return id != "" && id != last
	}
	return number > lastNumber
}
