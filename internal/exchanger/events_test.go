package exchanger

import "testing"

func TestCompleteEvents(t *testing.T) {
	tests := map[string]struct {
		text   string
		length int
		id     string
	}{
		"nothing":         {"", 0, ""},
		"half an event":   {"id: 1\ndata: x\n", 0, ""},
		"one and a half":  {"id: 1\ndata: x\n\nid: 2\n", 15, "1"},
		"carriage return": {"id: 7\r\ndata: x\r\n\r\n", 18, "7"},
		"id within data":  {"id: 3\ndata: id: 9\n\n", 19, "3"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := completeEventsLen([]byte(tt.text))
			if n != tt.length || LastEventID([]byte(tt.text[:n])) != tt.id {
				t.Fatalf("got %d and %q, want %d and %q", n, LastEventID([]byte(tt.text[:n])), tt.length, tt.id)
			}
		})
	}
}
