package messenger

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
)

// Guards against a link that breaks each time that a name with bytes that are no text is sent over it.
func TestNamesThatAreNoTextDoNotBreakLinks(t *testing.T) {
	raw, err := cbor.Marshal(Packet{Members: []registrar.Member{{Name: "i-\xff"}, {Name: "sound"}}})
	if err != nil {
		t.Fatal(err)
	}
	var p Packet
	if err := decoding.Unmarshal(raw, &p); err != nil || len(p.Members) != 2 || p.Members[0].Check() == nil {
		t.Fatalf("got %+v, %v; want both rows, of which the first one names no server", p.Members, err)
	}
}
