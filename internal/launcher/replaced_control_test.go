package launcher

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/internal/configurer"
	"github.com/eelgrasshook/eelgrasshook/internal/messenger"
	"github.com/eelgrasshook/eelgrasshook/internal/observer"
	"github.com/eelgrasshook/eelgrasshook/internal/replicator"
	"github.com/eelgrasshook/eelgrasshook/pkg/decoder"
	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// deployedReplaceAfter returns the setting replace-after of the deploy file's template.
func deployedReplaceAfter(t *testing.T) timer.Millis {
	t.Helper()
	text, err := os.ReadFile("../../deploy/control.ini")
	if err != nil {
		t.Fatal(err)
	}
	match := regexp.MustCompile(`(?m)^replace-after = (\S+)$`).FindSubmatch(text)
	if match == nil {
		t.Fatal("deploy/control.ini does not set replace-after")
	}
	d, err := time.ParseDuration(string(match[1]))
	if err != nil {
		t.Fatal(err)
	}
	return timer.FromDuration(d)
}

// startControl starts a control instance with an empty folder on a loopback address that no other one has.
func (d *deployment) startControl(n int, base configurer.Settings) *Control {
	d.t.Helper()
	host := func(a decoder.Address) decoder.Address {
		port := regexp.MustCompile(`:\d+$`).FindString(string(a))
		return decoder.Address(fmt.Sprintf("127.0.0.%d%s", n, port))
	}
	s := base
	s.Instance.Name, s.Instance.DataCentre, s.Record.Found = fmt.Sprint("c", n), "a", false
	s.Listen.Control, s.Listen.Links, s.Data.Folder = host(base.Peers.Seeds[0]), host(base.Listen.Links), d.t.TempDir()
	c, err := NewControl(observer.NewDiscard(timer.NewSystemClock()), s)
	if err != nil {
		d.t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = c.Stop() })
	return c
}

// Guards against a record that loses its majority for good: a voter is replaced by an empty instance at another address, and the
// next one too, once the first replacement has had the users' time to catch up.
func TestRecordSurvivesControlInstancesReplacedInTurn(t *testing.T) {
	// The users' bounds: a new machine counts as lost for catchUp after its start; an order is acknowledged within ackBound.
	const catchUp, ackBound, replaced = 4 * time.Second, 4 * time.Second, 3
	d := newDeploymentWith(t, func(s *configurer.Settings) { s.Record.ReplaceAfter = deployedReplaceAfter(t) })
	defer d.stop()
	running := slices.Clone(d.control[:])
	d.control = [3]*Control{}
	defer func() {
		for _, c := range running {
			_ = c.Stop()
		}
	}()
	put := func(version int, limit time.Duration) bool {
		for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
			for _, c := range running {
				if status, _ := call(http.MethodPut, "http://"+string(c.settings.Listen.Control)+"/config", fmt.Sprintf(policyFormat, version)); status == http.StatusOK {
					return true
				}
			}
		}
		return false
	}
	if !put(1, 15*time.Second) {
		t.Fatal("the first policy is not acknowledged")
	}
	for n := range replaced {
		i := slices.IndexFunc(running, func(c *Control) bool { return c.record.Status().Role == replicator.RoleLeader })
		if i < 0 {
			t.Fatalf("no control instance leads before replacement %d", n)
		}
		leader := running[i]
		running = slices.Delete(running, i, i+1)
		if err := leader.Stop(); err != nil {
			t.Fatal(err)
		}
		if conn, err := net.DialTimeout("tcp", string(leader.settings.Listen.Links), time.Second); err == nil {
			_ = conn.Close()
			t.Fatal("a stopped control instance accepts links")
		}
		running = append(running, d.startControl(11+n, d.entrySettings))
		time.Sleep(catchUp)
		if !put(2+n, ackBound) {
			t.Fatalf("after replacement %d no policy is acknowledged within %v", n, ackBound)
		}
	}
}

// Guards against a spare that is reached and never gets the log: as the only learner it would keep all other spares out.
func TestSpareWithoutTheLogKeepsNoOtherOut(t *testing.T) {
	// A new machine counts as lost for this long after its start, by the users' bound.
	const limit = 4 * time.Second
	d := newDeploymentWith(t, func(s *configurer.Settings) { s.Record.ReplaceAfter = deployedReplaceAfter(t) })
	defer d.stop()
	leader := func() *Control {
		for _, c := range d.control {
			if c != nil && c.record.Status().Role == replicator.RoleLeader {
				return c
			}
		}
		return nil
	}
	waitFor := func(what string, isTrue func(replicator.Members) bool) {
		t.Helper()
		for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
			if l := leader(); l != nil && isTrue(l.record.Status().Members) {
				return
			}
		}
		t.Fatalf("%s: not within %v", what, limit)
	}
	mute := replicator.ID("127.0.0.99:1#mute")
	dialer := messenger.NewDialer(messenger.LinkHandler{
		Telemetry: observer.NewDiscard(timer.NewSystemClock()),
		NewGreeting: func() messenger.Greeting {
			return messenger.Greeting{Instance: "mute", DataCentre: "a", Address: "127.0.0.99:1", Member: mute}
		},
		OnOpen: func(*messenger.Link) {}, OnClose: func(*messenger.Link) {}, OnPacket: func(*messenger.Link, messenger.Packet) {},
	})
	defer func() { _ = dialer.Stop() }()
	var links []string
	for _, c := range d.control {
		links = append(links, string(c.settings.Listen.Links))
	}
	dialer.SetAddresses(links)
	waitFor("the mute spare is a learner", func(m replicator.Members) bool { return slices.Contains(m.Learners, mute) })
	// A voter that does not lead is lost.
	i := slices.IndexFunc(d.control[:], func(c *Control) bool { return c != leader() })
	if err := d.control[i].Stop(); err != nil {
		t.Fatal(err)
	}
	d.control[i] = nil
	spare := d.startControl(11, d.entrySettings)
	waitFor("the working spare votes", func(m replicator.Members) bool { return m.IsVoter(spare.record.ID()) && len(m.Voters) == 3 })
}
