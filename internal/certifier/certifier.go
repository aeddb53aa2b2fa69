package certifier

import (
	"crypto/tls"
	"os"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Files holds the paths of the certificate and its key, and the interval at which they are checked for changes.
type Files struct {
	Certificate string
	Key         string
	CheckEvery  timer.Millis
}

// Certifier holds the current certificate and reloads it when its files change.
type Certifier struct {
	telemetry observer.Telemetry
	files     Files
	current   atomic.Pointer[tls.Certificate]
	modTimes  [2]time.Time
	tomb      tomb.Tomb
}

// NewCertifier loads the certificate; it returns an error when the files cannot be read or do not form a valid pair.
func NewCertifier(telemetry observer.Telemetry, files Files) (*Certifier, error) {
	c := &Certifier{telemetry: telemetry, files: files}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

// ServerConfig returns a server TLS configuration that always presents the current certificate.
func (c *Certifier) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.current.Load(), nil },
	}
}

// Start starts the periodic check for a changed certificate.
func (c *Certifier) Start() {
	c.tomb.Go(c.loop)
}

// Stop stops the periodic check and waits until it has ended.
func (c *Certifier) Stop() error {
	c.tomb.Kill(nil)
	return c.tomb.Wait()
}

func (c *Certifier) loop() error {
	for {
		select {
		case <-c.telemetry.Clock.After(c.files.CheckEvery):
			c.reloadIfChanged()
		case <-c.tomb.Dying():
			return nil
		}
	}
}

// reloadIfChanged loads the files when a modification time changed; an invalid pair leaves the old certificate in use.
func (c *Certifier) reloadIfChanged() {
	modTimes, err := c.readModTimes()
	if err != nil || modTimes == c.modTimes {
		return
	}
	if err := c.load(); err != nil {
		c.telemetry.Log.Error("failed to reload the certificate, keeping the previous one", "file", c.files.Certificate, "error", err)
		return
	}
	c.telemetry.Log.Info("certificate reloaded", "file", c.files.Certificate)
}

func (c *Certifier) load() error {
	modTimes, err := c.readModTimes()
	if err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return trace.BadParameter("certificate %s with key %s: %v", c.files.Certificate, c.files.Key, err)
	}
	c.modTimes = modTimes
	c.current.Store(&pair)
	return nil
}

func (c *Certifier) readModTimes() ([2]time.Time, error) {
	var modTimes [2]time.Time
	for i, path := range []string{c.files.Certificate, c.files.Key} {
		info, err := os.Stat(path)
		if err != nil {
			return modTimes, trace.ConvertSystemError(err)
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}
