package assembler

import (
	"context"
	"crypto/tls"
	"os"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/configurer"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// TestLinksRequireMutualTLS checks that instances reach each other over mutual TLS, and refuse peers without a
// certificate of their authority.
func TestLinksRequireMutualTLS(t *testing.T) {
	text, err := os.ReadFile("../../examples/tazy-fit.ini")
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	certificate, key := writeCertificate(t, folder, 1)
	cfg := Config{
		Folder: t.TempDir(), Document: string(text), DataCentres: []string{"almaty-a", "astana-a", "shymkent-a"},
		LinkSettings:   []string{"certificate = " + certificate, "key = " + key, "authority = " + certificate},
		AdjustSettings: func(s *configurer.Settings) { s.Peers.Silence = timer.Second },
	}
	f, err := NewFleet(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Stop(); err != nil {
			t.Error(err)
		}
	})
	if _, err := f.NewOperatorClient(1).Apply(context.Background(), newChange("a", 1, documentWithTarget(t, f, 71))); err != nil {
		t.Fatal(err)
	}
	waitForRevision(t, f, 2, 2)
	foreignFolder := t.TempDir()
	foreignCertificate, foreignKey := writeCertificate(t, foreignFolder, 2)
	foreignPair, err := tls.LoadX509KeyPair(foreignCertificate, foreignKey)
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]*tls.Config{
		"no certificate":                   {InsecureSkipVerify: true},                                               //nolint:gosec // The server's check is tested.
		"certificate of another authority": {InsecureSkipVerify: true, Certificates: []tls.Certificate{foreignPair}}, //nolint:gosec // The server's check is tested.
	}
	for name, cfg := range tests {
		t.Run(name, func(t *testing.T) {
			if !isRefused(t, f.seedAddresses[0], cfg) {
				t.Error("the connection is accepted")
			}
		})
	}
}

// isRefused reports whether a TLS server refuses a client; with TLS 1.3 the client sees the refusal at its first read.
func isRefused(t *testing.T, address string, cfg *tls.Config) bool {
	t.Helper()
	conn, err := tls.Dial("tcp", address, cfg)
	if err != nil {
		return true
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("GET /link HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		return true
	}
	_, err = conn.Read(make([]byte, 1))
	return err != nil
}
