package assembler

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"github.com/eelgrasshook/eelgrasshook/internal/configurer"
	"github.com/eelgrasshook/eelgrasshook/internal/imitator"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func TestInvalidRequestsAreRefusedAndDoNotRun(t *testing.T) {
	f := newFleetWithSettings(t, func(s *configurer.Settings) { s.Limits.MaxBody = 2048 }, "almaty-a")
	engine := addEngine(t, f, "e", imitator.EngineConfig{})
	desk := addCoatDesk(t, f, "desk", imitator.ServiceConfig{})
	waitForServers(t, f)
	chat := "/v1/chat/completions"
	validBody := `{"model":"fitting-model","messages":[{"role":"user","content":"x"}]}`
	tests := map[string]struct {
		method, path, key, body string
		header                  http.Header
		status                  int
		kind                    string
	}{
		"no key":                {"POST", chat, "", validBody, nil, 401, "no-api-key"},
		"unknown key":           {"POST", chat, "nobody", validBody, nil, 401, "unknown-api-key"},
		"not JSON":              {"POST", chat, "key-training", "{", nil, 400, "bad-body"},
		"not an object":         {"POST", chat, "key-training", "[]", nil, 400, "bad-body"},
		"unknown model":         {"POST", chat, "key-training", `{"model":"x","messages":[{}]}`, nil, 404, "unknown-model"},
		"no messages":           {"POST", chat, "key-training", `{"model":"fitting-model"}`, nil, 400, "bad-body"},
		"bad max_tokens":        {"POST", chat, "key-training", `{"model":"fitting-model","messages":[{}],"max_tokens":-1}`, nil, 400, "bad-body"},
		"bad stream":            {"POST", chat, "key-training", `{"model":"fitting-model","messages":[{}],"stream":"y"}`, nil, 400, "bad-body"},
		"several answers":       {"POST", chat, "key-training", `{"model":"fitting-model","messages":[{}],"n":3}`, nil, 400, "bad-body"},
		"large body":            {"POST", chat, "key-training", `{"a":"` + strings.Repeat("x", 3000) + `"}`, nil, 413, "body-too-large"},
		"bad deadline":          {"POST", chat, "key-training", validBody, http.Header{"X-Deadline-Ms": {"soon"}}, 400, "bad-header"},
		"long idempotency key":  {"POST", chat, "key-training", validBody, http.Header{"Idempotency-Key": {strings.Repeat("k", 300)}}, 400, "bad-header"},
		"unknown path":          {"GET", "/v2/chat", "key-training", "", nil, 404, "unknown-path"},
		"unknown service":       {"GET", "/services/oven/x", "key-training", "", nil, 403, "service-not-allowed"},
		"unknown route":         {"DELETE", "/services/coat-desk/orders", "key-training", "", nil, 404, "unknown-route"},
		"dot-dot in the path":   {"GET", "/services/coat-desk/catalogue/../orders", "key-training", "", nil, 400, "bad-path"},
		"prefix of a route":     {"GET", "/services/coat-desk/catalogues", "key-training", "", nil, 404, "unknown-route"},
		"header too large":      {"POST", chat, "key-training", validBody, http.Header{"X-Long": {strings.Repeat("x", 100_000)}}, 431, ""},
		"deadline already past": {"POST", chat, "key-training", validBody, http.Header{"X-Deadline-Ms": {"0"}}, 400, "bad-header"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequest(tt.method, "http://"+f.Instances[0].CallersAddress()+tt.path, strings.NewReader(tt.body))
			if err != nil {
				t.Fatal(err)
			}
			for k, v := range tt.header {
				req.Header[k] = v
			}
			if tt.key != "" {
				req.Header.Set("Authorization", "Bearer "+tt.key)
			}
			res, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(res.Body)
			if err != nil || res.Body.Close() != nil {
				t.Fatal(err)
			}
			fields := gjson.GetBytes(body, "error")
			if res.StatusCode != tt.status || fields.Get("type").String() != tt.kind {
				t.Errorf("got %d, %s", res.StatusCode, body)
			}
			if tt.kind != "" && (fields.Get("ran").String() != "no" || fields.Get("request-id").String() == "") {
				t.Errorf("got %s", body)
			}
		})
	}
	if n := len(engine.Runs()) + len(desk.Runs()); n != 0 {
		t.Errorf("%d refused requests reached a backend server", n)
	}
}

// TestStalledCallerIsDisconnected checks that the instance ends a stream whose caller stops reading, so that the
// request no longer holds memory or a slot on the engine.
func TestStalledCallerIsDisconnected(t *testing.T) {
	f := newFleetWithSettings(t, func(s *configurer.Settings) { s.Limits.CallerStall = 300 * timer.Millisecond }, "almaty-a")
	addEngine(t, f, "e", imitator.EngineConfig{})
	waitForServers(t, f)
	conn, err := net.Dial("tcp", f.Instances[0].CallersAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	body := `{"model":"fitting-model","stream":true,"max_tokens":1000000,"messages":[{"role":"user","content":"x"}]}`
	if _, err := fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-fit-questions\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		t.Fatal(err)
	}
	waitForRuns(t, f, 1)
	err = f.WaitFor("the end of the stalled caller's request", func() bool {
		s, err := f.NewOperatorClient(0).Status(context.Background())
		return err == nil && s.Running == 0 && s.BackendServers[0].InFlight == 0
	})
	if err != nil {
		t.Error(err)
	}
}

func TestInvalidAnnouncementsAreRefusedWithAReason(t *testing.T) {
	f := newTestFleet(t, "almaty-a")
	addEngine(t, f, "good", imitator.EngineConfig{})
	waitForServers(t, f)
	tests := map[string]struct {
		body   string
		status int
		want   string
	}{
		"not JSON":      {"{", 400, "unexpected EOF"},
		"unknown field": {`{"nom":"x"}`, 400, `unknown field \"nom\"`},
		"wrong type":    {`{"capacity":"many"}`, 400, "capacity"},
		"bad fields":    {`{"name":"bad","kind":"engine"}`, 422, "address: "},
		"address in use": {`{"name":"bad","kind":"engine","incarnation":1,"capacity":1,"data-centre":"a","address":"` + f.Engines[0].Address() + `"}`,
			422, "is announced by good"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			res, err := http.Post("http://"+f.Instances[0].ControlAddress()+"/announce", "application/json", strings.NewReader(tt.body))
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(res.Body)
			if err != nil || res.Body.Close() != nil || res.StatusCode != tt.status || !bytes.Contains(body, []byte(tt.want)) {
				t.Errorf("got %d, %s, %v", res.StatusCode, body, err)
			}
		})
	}
	if n := countServing(f.Instances[0]); n != 1 {
		t.Errorf("%d servers are serving, want only the valid one", n)
	}
}

func writeCertificate(t *testing.T, folder string, serial int64) (certificate, key string) {
	t.Helper()
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	certificateDER, err := x509.CreateCertificate(rand.Reader, template, template, &privateKey.PublicKey, privateKey)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(privateKey)
	if err != nil {
		t.Fatal(err)
	}
	certificate, key = filepath.Join(folder, "cert.pem"), filepath.Join(folder, "key.pem")
	for path, block := range map[string]*pem.Block{key: {Type: "EC PRIVATE KEY", Bytes: keyDER}, certificate: {Type: "CERTIFICATE", Bytes: certificateDER}} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return certificate, key
}

func TestCertificateIsReloadedWithoutRestart(t *testing.T) {
	folder := t.TempDir()
	certificate, key := writeCertificate(t, folder, 1)
	f := newFleetWithSettings(t, func(s *configurer.Settings) {
		s.TLS.Certificate, s.TLS.Key, s.TLS.CheckEvery = certificate, key, 20*timer.Millisecond
	}, "almaty-a")
	serial := func() int64 {
		conn, err := tls.Dial("tcp", f.Instances[0].CallersAddress(), &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // The test reads the serial number only.
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	if got := serial(); got != 1 {
		t.Fatalf("serial number %d", got)
	}
	if err := os.WriteFile(certificate, []byte("half a file"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := serial(); got != 1 {
		t.Errorf("a malformed certificate file was loaded: serial number %d", got)
	}
	writeCertificate(t, folder, 2)
	if err := f.WaitFor("the new certificate", func() bool { return serial() == 2 }); err != nil {
		t.Error(err)
	}
}
