package commander

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"

	"github.com/eelgrasshook/eelgrasshook/internal/configurer"
	"github.com/eelgrasshook/eelgrasshook/internal/launcher"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// settingsCheckInterval is the time between checks of the settings file, which may change without a SIGHUP.
const settingsCheckInterval = timer.Second

func (c *Commander) addServe() {
	cmd := c.app.Command("serve", "Run one instance until SIGTERM or SIGINT, then stop gracefully. SIGHUP, or a change of the file, reads the settings again.\n\nExample: eelgrasshook serve --settings instance.ini")
	path := cmd.Flag("settings", "Settings file of the instance.").Required().String()
	c.commands["serve"] = func() error { return c.serve(*path) }
}

func (c *Commander) serve(path string) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	settings, err := configurer.Load(path)
	if err != nil {
		return err
	}
	sink := observer.NewSink(c.out)
	defer sink.Close()
	telemetry := observer.NewTelemetry("eelgrasshook", sink, settings.Log.Level, settings.Log.Format == "json")
	process, err := launcher.NewProcess(telemetry, settings)
	if err != nil {
		return err
	}
	if err := process.Start(); err != nil {
		return err
	}
	w := &processWatcher{telemetry: telemetry, settingsPath: path, process: process, signals: signals}
	if err := w.run(); err != nil {
		telemetry.Log.Error("process stops after a fatal error", "error", err)
		return err
	}
	// Later signals are ignored: Stop has its own time limit.
	return process.Stop()
}

// processWatcher handles the signals of a running process and reloads its settings file when the file changes.
type processWatcher struct {
	telemetry    observer.Telemetry
	settingsPath string
	process      launcher.Process
	signals      <-chan os.Signal
	lastInfo     os.FileInfo
}

// run returns nil when a signal asks the process to stop, and an error when the process has failed.
func (w *processWatcher) run() error {
	w.settingsChanged()
	for {
		select {
		case s := <-w.signals:
			if s != syscall.SIGHUP {
				return nil
			}
			w.reload("signal")
		case <-w.process.Failed():
			return trace.ConnectionProblem(nil, "the record's thread has ended; its last line tells why")
		case <-w.telemetry.Clock.After(settingsCheckInterval):
			if w.settingsChanged() {
				w.reload("file changed")
			}
		}
	}
}

// settingsChanged reports whether the file's modification time or size differs from the last check.
func (w *processWatcher) settingsChanged() bool {
	info, err := os.Stat(w.settingsPath)
	if err != nil {
		w.telemetry.Log.Warn("settings file not accessible", "file", w.settingsPath, "error", err)
		return false
	}
	previousInfo := w.lastInfo
	w.lastInfo = info
	return previousInfo != nil && (previousInfo.ModTime() != info.ModTime() || previousInfo.Size() != info.Size())
}

// reload applies the settings in the file; the current ones stay when the file is invalid.
func (w *processWatcher) reload(reason string) {
	settings, err := configurer.Load(w.settingsPath)
	if err != nil {
		w.telemetry.Log.Error("settings not reloaded", "why", reason, "error", err)
		return
	}
	w.process.Reload(settings)
	w.telemetry.Log.Info("settings reloaded", "why", reason)
}
