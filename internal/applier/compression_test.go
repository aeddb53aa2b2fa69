package applier

import (
	"bytes"
	"testing"
)

func TestDecompressedIsNeverCut(t *testing.T) {
	tests := map[string]struct {
		length int
		fails  bool
	}{
		"a usual policy":   {60 << 10, false},
		"at the limit":     {maxPolicyText, false},
		"beyond the limit": {maxPolicyText + 1, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, err := NewPolicy(1, bytes.Repeat([]byte("x"), tt.length))
			if err != nil {
				t.Fatal(err)
			}
			text, err := p.Decompressed()
			if (err != nil) != tt.fails || err == nil && len(text) != tt.length {
				t.Fatalf("got %d bytes, %v", len(text), err)
			}
		})
	}
}
