package configurer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const validSettings = "[instance]\nname = a-1\ndata-centre = a\n[listen]\ncallers = 127.0.0.1:8080\ncontrol = 127.0.0.1:8090\n[document]\nfile = doc.ini\n"

func TestParseRejectsInvalidSettings(t *testing.T) {
	tests := map[string]struct {
		text string
		want string
	}{
		"unknown section":              {validSettings + "[extra]\n", "s.ini:9: [extra]: unknown section"},
		"unknown key":                  {validSettings + "[stop]\nlimits = 3s\n", "[stop] limits: unknown key; accepted: readiness-wait, limit"},
		"missing unit":                 {validSettings + "[stop]\nlimit = 30\n", `"30" has no unit`},
		"host name":                    {strings.Replace(validSettings, "127.0.0.1:8080", "localhost:8080", 1), "not an IP literal"},
		"duplicate address":            {strings.Replace(validSettings, "8090", "8080", 1), "the address is the callers' address"},
		"unreachable file":             {strings.Replace(validSettings, "doc.ini", "other.ini", 1), "unreachable file"},
		"unreachable folder":           {validSettings + "[data]\nfolder = nowhere/at/all\n", "unreachable folder"},
		"certificate without key":      {validSettings + "[tls]\ncertificate = doc.ini\n", "certificate and key go together"},
		"link certificate without key": {validSettings + "[links]\ncertificate = doc.ini\n", "certificate, key and authority go together"},
		"links without address":        {validSettings + "[links]\ncertificate = doc.ini\nkey = doc.ini\nauthority = doc.ini\n", "need an address of their own"},
		"data centre without a region": {strings.Replace(validSettings, "data-centre = a", "data-centre = a\nregions = a:x, b", 1), `"b" names no region`},
		"forget below silence":         {validSettings + "[servers]\nsilence = 20s\nforget = 10s\n", "it is not longer than silence"},
	}
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "doc.ini"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(folder, "s.ini")
	if _, err := Parse(path, validSettings); err != nil {
		t.Fatalf("valid settings are rejected: %v", err)
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := Parse(path, tt.text); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("got %v, want %q in it", err, tt.want)
			}
		})
	}
}

func TestSettingsPageIsUpToDate(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "SETTINGS", []byte(Describe()))
}
