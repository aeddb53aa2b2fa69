package registrar

import (
	"strings"
	"testing"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

func engineAnnouncement(name string, incarnation, sequence int64) Announcement {
	return Announcement{
		Name: name, Incarnation: incarnation, Sequence: sequence, Address: "127.0.0.1:9" + name, DataCentre: "a",
		Kind: KindEngine, EngineNames: []string{"v1"}, Capacity: 4,
	}
}

func modified(a Announcement, change func(*Announcement)) Announcement {
	change(&a)
	return a
}

func TestAnnounceRefusesInvalidField(t *testing.T) {
	tests := map[string]struct {
		change func(*Announcement)
		field  string
	}{
		"no name":              {func(a *Announcement) { a.Name = "" }, "name"},
		"name with spaces":     {func(a *Announcement) { a.Name = "a b" }, "name"},
		"long name":            {func(a *Announcement) { a.Name = strings.Repeat("a", 200) }, "name"},
		"no incarnation":       {func(a *Announcement) { a.Incarnation = 0 }, "incarnation"},
		"negative sequence":    {func(a *Announcement) { a.Sequence = -1 }, "sequence"},
		"host name":            {func(a *Announcement) { a.Address = "host:80" }, "address"},
		"no data centre":       {func(a *Announcement) { a.DataCentre = "" }, "data-centre"},
		"no capacity":          {func(a *Announcement) { a.Capacity = 0 }, "capacity"},
		"huge capacity":        {func(a *Announcement) { a.Capacity = 1 << 30 }, "capacity"},
		"negative load":        {func(a *Announcement) { a.Load.Running = -1 }, "load.running"},
		"negative waiting":     {func(a *Announcement) { a.Load.Waiting = -1 }, "load.waiting"},
		"unknown kind":         {func(a *Announcement) { a.Kind = "oven" }, "kind"},
		"engine with service":  {func(a *Announcement) { a.Service = "s" }, "service"},
		"bad engine name":      {func(a *Announcement) { a.EngineNames = []string{""} }, "engine-names"},
		"service without name": {func(a *Announcement) { a.Kind, a.EngineNames = KindService, nil }, "service"},
		"negative return":      {func(a *Announcement) { a.ReturnAt = -1 }, "return-at"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewTable(Timeouts{SilentAfter: 3000, RemoveAfter: 60_000})
			if _, err := table.Announce(0, engineAnnouncement("100", 1, 1)); err != nil {
				t.Fatal(err)
			}
			outcome, err := table.Announce(1, modified(engineAnnouncement("100", 2, 2), tt.change))
			if outcome != OutcomeRefused || err == nil || !strings.Contains(err.Error(), tt.field+": ") {
				t.Fatalf("got %s, %v, want field %s refused", outcome, err, tt.field)
			}
			if row := table.Rows()[0]; row.Incarnation != 1 || row.State != StateServing {
				t.Errorf("the invalid announcement changed the row: %+v", row)
			}
		})
	}
}

func TestAnnounceOrdersIncarnationsAndSequences(t *testing.T) {
	tests := map[string]struct {
		second Announcement
		want   Outcome
		state  State
	}{
		"next sequence":                   {engineAnnouncement("100", 5, 11), OutcomeAccepted, StateServing},
		"same sequence":                   {engineAnnouncement("100", 5, 10), OutcomeLateSequence, StateServing},
		"older sequence":                  {engineAnnouncement("100", 5, 3), OutcomeLateSequence, StateServing},
		"older incarnation":               {engineAnnouncement("100", 4, 99), OutcomeStaleIncarnation, StateServing},
		"newer incarnation":               {engineAnnouncement("100", 6, 0), OutcomeAccepted, StateServing},
		"leaving":                         {modified(engineAnnouncement("100", 5, 11), func(a *Announcement) { a.Leaving = true }), OutcomeAccepted, StateLeaving},
		"other address, same incarnation": {modified(engineAnnouncement("100", 5, 11), func(a *Announcement) { a.Address = "127.0.0.1:1" }), OutcomeRefused, StateServing},
		"other address after a restart":   {modified(engineAnnouncement("100", 6, 1), func(a *Announcement) { a.Address = "127.0.0.1:1" }), OutcomeAccepted, StateServing},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewTable(Timeouts{SilentAfter: 3000, RemoveAfter: 60_000})
			if _, err := table.Announce(0, engineAnnouncement("100", 5, 10)); err != nil {
				t.Fatal(err)
			}
			got, _ := table.Announce(10, tt.second)
			if got != tt.want || table.Rows()[0].State != tt.state {
				t.Errorf("got %s in state %s, want %s in %s", got, table.Rows()[0].State, tt.want, tt.state)
			}
		})
	}
}

func TestLeavingEndsOnlyWithNewIncarnation(t *testing.T) {
	table := NewTable(Timeouts{SilentAfter: 3000, RemoveAfter: 60_000})
	steps := []struct {
		a    Announcement
		want State
	}{
		{engineAnnouncement("100", 1, 1), StateServing},
		{modified(engineAnnouncement("100", 1, 3), func(a *Announcement) { a.Leaving = true }), StateLeaving},
		{engineAnnouncement("100", 1, 4), StateLeaving},
		{engineAnnouncement("100", 2, 1), StateServing},
	}
	for i, s := range steps {
		if _, err := table.Announce(timer.Millis(i), s.a); err != nil {
			t.Fatal(err)
		}
		if got := table.Rows()[0].State; got != s.want {
			t.Errorf("step %d: state %s, want %s", i, got, s.want)
		}
	}
}

func TestAnnounceRefusesAddressOfServingServer(t *testing.T) {
	table := NewTable(Timeouts{SilentAfter: 3000, RemoveAfter: 60_000})
	if _, err := table.Announce(0, engineAnnouncement("100", 1, 1)); err != nil {
		t.Fatal(err)
	}
	competing := modified(engineAnnouncement("200", 1, 1), func(a *Announcement) { a.Address = "127.0.0.1:9100" })
	if outcome, err := table.Announce(1, competing); outcome != OutcomeRefused || err == nil {
		t.Fatalf("got %s, %v", outcome, err)
	}
	table.Expire(5000)
	if outcome, err := table.Announce(5001, competing); outcome != OutcomeAccepted {
		t.Fatalf("after silence: got %s, %v", outcome, err)
	}
}

func TestSilenceStopsNewWorkWithinThreeSeconds(t *testing.T) {
	table := NewTable(Timeouts{SilentAfter: 2500, RemoveAfter: 60_000})
	if _, err := table.Announce(1000, engineAnnouncement("100", 1, 1)); err != nil {
		t.Fatal(err)
	}
	if changed := table.Expire(3500); len(changed) != 0 {
		t.Fatalf("silent too early: %v", changed)
	}
	if changed := table.Expire(3600); len(changed) != 1 || table.Rows()[0].State != StateSilent {
		t.Fatalf("not silent: %v", table.Rows())
	}
	if _, err := table.Announce(4000, engineAnnouncement("100", 1, 2)); err != nil || table.Rows()[0].State != StateServing {
		t.Fatalf("not serving after a new announcement: %v, %v", err, table.Rows())
	}
	table.Expire(70_000)
	if len(table.Rows()) != 0 {
		t.Error("a row silent for more than 60 s is still there")
	}
}

func TestDrainLastsUntilNextIncarnation(t *testing.T) {
	table := NewTable(Timeouts{SilentAfter: 2500, RemoveAfter: 60_000})
	for i, want := range []State{StateServing, StateDrained, StateServing} {
		if i == 1 && !table.Drain(5, "100") {
			t.Fatal("Drain does not find the server")
		}
		if _, err := table.Announce(timer.Millis(10+i), engineAnnouncement("100", int64(1+i/2), int64(i+1))); err != nil {
			t.Fatal(err)
		}
		if got := table.Rows()[0].State; got != want {
			t.Errorf("step %d: %s, want %s", i, got, want)
		}
	}
}
