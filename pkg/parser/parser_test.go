package parser

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func readExample(t testing.TB, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestExamplesAreValidAndRoundTrip(t *testing.T) {
	for _, name := range []string{"tazy-fit.ini", "gulf-wake.ini"} {
		t.Run(name, func(t *testing.T) {
			doc, err := Parse(name, readExample(t, name))
			if err != nil {
				t.Fatal(err)
			}
			if len(doc.Workspaces) != 10 || len(doc.DataCentres) != 3 {
				t.Errorf("%d workspaces in %d data centres, want 10 in 3", len(doc.Workspaces), len(doc.DataCentres))
			}
			reparsed, err := Parse("printed", doc.String())
			if err != nil {
				t.Fatal(err)
			}
			if reparsed.String() != doc.String() {
				t.Error("parsing and formatting the canonical form changes it")
			}
			if d := Diff(doc, reparsed); len(d) > 0 {
				t.Errorf("the document differs from its parsed canonical form: %v", d)
			}
		})
	}
}

func TestParseRejectsInvalidDocuments(t *testing.T) {
	tests := map[string]struct {
		old, new string
		want     string
	}{
		"unknown section":                 {"[service coat-desk]", "[services coat-desk]", "unknown section"},
		"extra name in header":            {"[service coat-desk]", "[service coat-desk.-x y]", "unknown section"},
		"missing environment":             {"[environment]\nname = production\nquality-target = 80%", "", "the section is missing"},
		"unknown version":                 {"cascade = fitting-small-3, fitting-large-2", "cascade = fitting-small-9", "has no version fitting-small-9; accepted: fitting-small-3, fitting-large-2"},
		"cascade not sorted by price":     {"cascade = fitting-small-3, fitting-large-2", "cascade = fitting-large-2, fitting-small-3", "costs less than fitting-large-2"},
		"cascade of one version is valid": {"cascade = fitting-small-3, fitting-large-2", "cascade = fitting-small-3", ""},
		"unknown model":                   {"models = fitting-model\nservices = coat-desk\nweight = 8", "models = other\nservices = coat-desk\nweight = 8", "unknown model other"},
		"unknown service":                 {"services = coat-desk\nweight = 8", "services = desk\nweight = 8", "unknown service desk"},
		"missing idempotent key":          {"idempotent = no\n", "", "idempotent: the key is missing; accepted: yes or no"},
		"path without slash":              {"path = /orders", "path = orders", "malformed path orders"},
		"same engine name":                {"engine-name = fit-l-2", "engine-name = fit-s-3", "has the same engine name"},
		"path to unknown region":          {"[path almaty astana]", "[path almaty oskemen]", "no data centre lies in region oskemen"},
		"roll-out of unknown version":     {"[service coat-desk]", "[roll-out ghost]\nreplaces = fitting-small-3\nshare = 5%\n[service coat-desk]", "unknown version ghost"},
		"roll-out that replaces itself":   {"[service coat-desk]", "[roll-out fitting-small-3]\nreplaces = fitting-small-3\nshare = 5%\n[service coat-desk]", "cannot replace"},
	}
	text := readExample(t, "tazy-fit.ini")
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if !strings.Contains(text, tt.old) {
				t.Fatalf("the example has no %q", tt.old)
			}
			_, err := Parse("doc.ini", strings.Replace(text, tt.old, tt.new, 1))
			if tt.want == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("got error %v, want it to contain %q", err, tt.want)
			}
		})
	}
}

func TestParseRejectsCascadeWithAllVersionsWithdrawn(t *testing.T) {
	text := strings.ReplaceAll(readExample(t, "tazy-fit.ini"), "when-withdrawn = move", "withdrawn = yes")
	if _, err := Parse("doc.ini", text); err == nil || !strings.Contains(err.Error(), "every version in it is withdrawn") {
		t.Fatalf("got error %v, want every version withdrawn", err)
	}
}

func TestDiffListsSectionKeyAndBothValues(t *testing.T) {
	before, err := Parse("doc.ini", readExample(t, "tazy-fit.ini"))
	if err != nil {
		t.Fatal(err)
	}
	v, _ := before.Version("fitting-small-3")
	v.Withdrawn = true
	after := before.WithVersion(v)
	d := Diff(before, after)
	if len(d) != 1 || d[0].String() != "[version fitting-small-3] withdrawn: (default) -> yes" {
		t.Errorf("unexpected differences: %v", d)
	}
	if x, _ := before.Version("fitting-small-3"); x.Withdrawn {
		t.Error("WithVersion changed the original document")
	}
}

func FuzzParse(f *testing.F) {
	f.Add(readExample(f, "tazy-fit.ini"))
	f.Add(readExample(f, "gulf-wake.ini"))
	f.Add("[environment]\nname = a\n[model m]\ncascade = v")
	f.Fuzz(func(t *testing.T, text string) {
		doc, err := Parse("fuzz", text)
		if err != nil {
			return
		}
		reparsed, err := Parse("printed", doc.String())
		if err != nil {
			t.Fatalf("Parse rejects the canonical form: %v\n%s", err, doc)
		}
		if reparsed.String() != doc.String() {
			t.Fatalf("parsing and formatting the canonical form changes it:\n%s\n%s", doc, reparsed)
		}
	})
}
