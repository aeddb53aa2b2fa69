package parser

import (
	"strings"
	"testing"
)

func TestPatchWithDiffReproducesOtherDocument(t *testing.T) {
	changes := map[string][2]string{
		"key changed":            {"quality-target = 95%", "quality-target = 90%"},
		"key removed":            {"require-key = yes\n", ""},
		"key added":              {"weight = 8", "weight = 8\nmax-waiting = 5"},
		"section removed":        {"[route coat-desk catalogue]\nmethod = GET\npath = /catalogue/\nidempotent = yes\npriority = 1\n", ""},
		"section added":          {"[service coat-desk]", "[route coat-desk stock]\nmethod = GET\npath = /stock\nidempotent = yes\n[service coat-desk]"},
		"environment changed":    {"quality-target = 80%", "quality-target = 81%"},
		"roll-out added":         {"[service coat-desk]", "[version new]\nmodel = fitting-model\nengine-name = n\ninput-price = 1\noutput-price = 1\nquality = 90%\n[roll-out new]\nreplaces = fitting-small-3\nshare = 5%\n[service coat-desk]"},
		"no change":              {"weight = 8", "weight = 8"},
		"default value replaced": {"timeout = 10s", "timeout = 12s"},
	}
	text := readExample(t, "tazy-fit.ini")
	before, err := Parse("before", text)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range changes {
		for _, reverse := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				if !strings.Contains(text, c[0]) {
					t.Fatalf("the example has no %q", c[0])
				}
				after, err := Parse("after", strings.Replace(text, c[0], c[1], 1))
				if err != nil {
					t.Fatal(err)
				}
				from, to := before, after
				if reverse {
					from, to = after, before
				}
				got, err := Patch(from, Diff(from, to))
				if err != nil {
					t.Fatal(err)
				}
				if got.String() != to.String() {
					t.Errorf("the patched document differs from the expected one: %v", Diff(got, to))
				}
			})
		}
	}
}
