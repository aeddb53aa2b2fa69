package commander

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const soundPolicy = `{"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"safe","timeout_ms":5000,"target_latency_ms":500,
"service":"desk","max_attempts":2}],"services":[{"name":"desk","health_path":"/health","max_conns":10}],"limits":{},"tenants":[{"name":"t","api_keys":["k"]}]}`

func TestCheckPolicy(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	sound := write("sound.json", soundPolicy)
	late := write("late.json", strings.Replace(strings.Replace(soundPolicy, `"target_latency_ms":500`, `"target_latency_ms":9000`, 1), `"version":7`, `"version":8`, 1))
	faulty := write("faulty.json", strings.Replace(soundPolicy, `"service":"desk"`, `"service":"none"`, 1))
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, soundPolicy) }))
	defer control.Close()
	address := control.Listener.Addr().String()
	tests := map[string]struct {
		args []string
		code int
		want string
	}{
		"sound":                       {[]string{sound}, ExitOK, "version 7, 0 findings"},
		"contradiction":               {[]string{late}, ExitFailed, "route r: contradiction: the target of 9s is longer than the time limit of 5s"},
		"invalid":                     {[]string{faulty}, ExitBadInput, `names the unknown service "none"`},
		"against a file":              {[]string{sound, "--against", late}, ExitOK, "differs: route r: TargetLatency: 9s -> 500ms"},
		"against a control instance":  {[]string{late, "--against", address}, ExitFailed, "differs: version: 7 -> 8"},
		"nobody answers":              {[]string{sound, "--against", "127.0.0.1:1"}, ExitUnreachable, "no control instance answers"},
		"no such file":                {[]string{filepath.Join(folder, "nowhere.json")}, ExitBadInput, "nowhere.json"},
		"fewer connections than read": {[]string{sound, "--instances", "12"}, ExitFailed, "10 connections from 12 instances"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			code, out, errOut := runCommand(append([]string{"check", "policy"}, tt.args...)...)
			if code != tt.code || !strings.Contains(out+errOut, tt.want) {
				t.Fatalf("exit code %d, %q, want %d, %q", code, out+errOut, tt.code, tt.want)
			}
		})
	}
	_, out, _ := runCommand("check", "policy", late, "--output", "json", "--against", sound)
	var report policyReport
	if err := json.Unmarshal([]byte(out), &report); err != nil || report.Version != 8 || len(report.Findings) != 1 || len(report.Differences) != 2 {
		t.Fatalf("got %q, %v", out, err)
	}
}
