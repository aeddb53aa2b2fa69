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

// settingsEvery is the time between looks at the settings file, which may change without a signal.
const settingsEvery = timer.Second

func (c *Commander) addServe() {
	cmd := c.app.Command("serve", "Run one instance until SIGTERM or SIGINT, then stop gracefully. SIGHUP, or a change of the file, reads the settings again.\n\nExample: eelgrasshook serve --settings instance.ini")
	path := cmd.Flag("settings", "Settings file of the instance.").Required().String()
	c.run["serve"] = func() error { return c.serve(*path) }
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
	common := observer.NewCommon("eelgrasshook", sink, settings.Log.Level, settings.Log.Format == "json")
	process, err := launcher.NewProcess(common, settings)
	if err != nil {
		return err
	}
	if err := process.Start(); err != nil {
		return err
	}
	w := &waiter{common: common, path: path, process: process, signals: signals}
	if err := w.run(); err != nil {
		common.Log.Error("process ends: it cannot go on", "error", err)
		return err
	}
	// Further signals change nothing: the stop has a limit of its own.
	return process.Stop()
}

// waiter follows the signals and the settings file of a running process.
type waiter struct {
	common  observer.Common
	path    string
	process launcher.Process
	signals <-chan os.Signal
	seen    os.FileInfo
}

// run returns once the process is to stop; the error says that it cannot go on.
func (w *waiter) run() error {
	w.changed()
	for {
		select {
		case s := <-w.signals:
			if s != syscall.SIGHUP {
				return nil
			}
			w.reload("signal")
		case <-w.process.Failed():
			return trace.ConnectionProblem(nil, "the record's thread has ended; its last line tells why")
		case <-w.common.Clock.After(settingsEvery):
			if w.changed() {
				w.reload("file changed")
			}
		}
	}
}

// changed reports whether the file is another one than at the last look.
func (w *waiter) changed() bool {
	info, err := os.Stat(w.path)
	if err != nil {
		w.common.Log.Warn("settings file not reachable", "file", w.path, "error", err)
		return false
	}
	last := w.seen
	w.seen = info
	return last != nil && (last.ModTime() != info.ModTime() || last.Size() != info.Size())
}

// reload hands changed settings on; faulty ones change nothing.
func (w *waiter) reload(why string) {
	settings, err := configurer.Load(w.path)
	if err != nil {
		w.common.Log.Error("settings not reloaded", "why", why, "error", err)
		return
	}
	w.process.Reload(settings)
	w.common.Log.Info("settings reloaded", "why", why)
}
