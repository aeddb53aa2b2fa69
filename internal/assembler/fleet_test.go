package assembler

import (
	"os"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/internal/configurer"
	"github.com/eelgrasshook/eelgrasshook/internal/imitator"
	"github.com/eelgrasshook/eelgrasshook/internal/registrar"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// newTestFleet starts instances with the example document and stops them when the test ends.
func newTestFleet(t *testing.T, dataCentres ...string) *Fleet {
	t.Helper()
	return newFleetWithSettings(t, nil, dataCentres...)
}

func newFleetWithSettings(t *testing.T, adjust func(*configurer.Settings), dataCentres ...string) *Fleet {
	t.Helper()
	text, err := os.ReadFile("../../examples/tazy-fit.ini")
	if err != nil {
		t.Fatal(err)
	}
	f, err := NewFleet(Config{Folder: t.TempDir(), Document: string(text), DataCentres: dataCentres, AdjustSettings: func(s *configurer.Settings) {
		s.Limits.RetryShare = 1
		if adjust != nil {
			adjust(s)
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Stop(); err != nil {
			t.Error(err)
		}
	})
	return f
}

func addCoatDesk(t *testing.T, f *Fleet, name string, cfg imitator.ServiceConfig) *imitator.Service {
	t.Helper()
	s, err := f.AddService(registrar.Announcement{Name: name, DataCentre: "almaty-a", Service: "coat-desk"}, cfg)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func waitForServers(t *testing.T, f *Fleet) {
	t.Helper()
	if err := f.WaitForServers(); err != nil {
		t.Fatal(err)
	}
}

const tokenInterval = 2 * timer.Millisecond
