package crowder

import (
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
	"testing"
	"time"
)

// writeCertificate writes a certificate and its key, and returns the settings that name them.
func writeCertificate(t *testing.T) string {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	for name, block := range map[string]*pem.Block{"cert.pem": {Type: "CERTIFICATE", Bytes: certificate}, "key.pem": {Type: "EC PRIVATE KEY", Bytes: private}} {
		if err := os.WriteFile(filepath.Join(folder, name), pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return fmt.Sprintf("[tls]\ncertificate = %s\nkey = %s\n", filepath.Join(folder, "cert.pem"), filepath.Join(folder, "key.pem"))
}

// Over TLS the lines of a head cannot be told before it is decrypted.
func TestCrowdOfShortFieldsOverTLS(t *testing.T) {
	dep := newDeployment(t, headFiles)
	process, callers, _, _ := dep.startWhole(writeCertificate(t))
	insecure := &tls.Config{InsecureSkipVerify: true} //nolint:gosec // The certificate is the test's own.
	text := manyFields(longHead)
	dep.send(callers, headCrowd, func(_ int, conn net.Conn) { _, _ = io.WriteString(tls.Client(conn, insecure), text) })
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: insecure}}
	dep.waitFor("an ordinary request is answered", func() bool {
		res, err := client.Get("https://" + callers + "/readyz")
		if err != nil {
			return false
		}
		defer func() { _ = res.Body.Close() }()
		return res.StatusCode == http.StatusOK
	})
	dep.checkProcess("the process", process, entryMemory/2, headFiles)
}
