package quarantiner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/eelgrasshook/eelgrasshook/pkg/timer"
)

// Digests of prompt parts: common is shared by all prompts, subject by some, and deadly crashes servers.
const (
	common uint64 = iota + 1
	subject
	deadly
	otherSubject
	bystander
)

// crashed returns the reports on a server that went down at the given time; the requests are numbered by their position.
func crashed(server int, at timer.Millis, prompts ...[]uint64) []CrashReport {
	var list []CrashReport
	for i, parts := range prompts {
		list = append(list, CrashReport{Server: fmt.Sprint("s", server), Incarnation: 1, Request: uint64(1000*server + i),
			Parts: parts, Age: now - at})
	}
	return list
}

// answered adds the parts that the reporting instance had seen answered before.
func answered(list []CrashReport, parts ...uint64) []CrashReport {
	for i := range list {
		list[i].Answered = parts
	}
	return list
}

// blockedGroups returns the groups of parts that are blocked, in a fixed order.
func blockedGroups(e *Evidence) [][]uint64 {
	var groups [][]uint64
	for _, v := range e.verdicts {
		if len(v.parts) > 0 {
			groups = append(groups, v.parts)
		}
	}
	slices.SortFunc(groups, slices.Compare)
	return groups
}

// blocks reports whether a request is blocked, without a trial.
func blocks(e *Evidence, request uint64, parts ...uint64) bool {
	return slices.ContainsFunc(e.verdicts, func(v *verdict) bool { return v.applies(request, parts) })
}

// now is the time at which the reports of the tests arrive, in milliseconds.
const now timer.Millis = 100_000

func TestVerdict(t *testing.T) {
	deadlyPrompt, bystanderPrompt := []uint64{common, subject, deadly}, []uint64{common, otherSubject, bystander}
	acquit := func(server int, parts ...uint64) []Acquittal {
		var list []Acquittal
		for _, p := range parts {
			list = append(list, Acquittal{Server: fmt.Sprint("s", server), Incarnation: 1, Trait: p})
		}
		return list
	}
	tests := map[string]struct {
		reports    [][]CrashReport
		acquittals [][]Acquittal
		// want are the groups of parts that are blocked in one prompt.
		want [][]uint64
	}{
		"two crashes may be a coincidence": {
			reports: [][]CrashReport{crashed(1, 0, deadlyPrompt), crashed(2, 2000, deadlyPrompt)},
		},
		"parts of three crashes that nothing tells apart are blocked together": {
			reports: [][]CrashReport{crashed(1, 0, deadlyPrompt), crashed(2, 500, deadlyPrompt), crashed(3, 1200, deadlyPrompt)},
			want:    [][]uint64{deadlyPrompt},
		},
		"answers tell the parts of three crashes apart": {
			reports:    [][]CrashReport{crashed(1, 0, deadlyPrompt), crashed(2, 500, deadlyPrompt), crashed(3, 1200, deadlyPrompt)},
			acquittals: [][]Acquittal{acquit(1, common, subject), acquit(2, common, subject), acquit(3, common, subject)},
			want:       [][]uint64{{deadly}},
		},
		"parts that were answered before are not suspected": {
			reports: [][]CrashReport{answered(crashed(1, 0, deadlyPrompt), common, subject), crashed(2, 500, deadlyPrompt),
				crashed(3, 1200, deadlyPrompt)},
			want: [][]uint64{{deadly}},
		},
		"a sound part behind the cause is not blocked alone": {
			reports: [][]CrashReport{crashed(1, 0, []uint64{common, deadly, subject}, []uint64{common, subject}),
				crashed(2, 60, []uint64{common, deadly, subject}, []uint64{common, subject}),
				crashed(3, 1200, []uint64{common, deadly, subject}, []uint64{common, subject})},
			want: [][]uint64{{common, subject, deadly}},
		},
		"a part that was answered before is blocked if no other one explains its crashes": {
			reports: [][]CrashReport{answered(crashed(1, 0, []uint64{common, 11}), common), crashed(2, 500, []uint64{common, 12}),
				crashed(3, 1200, []uint64{common, 13}), crashed(4, 1300, []uint64{common, 14}), crashed(5, 1400, []uint64{common, 15})},
			want: [][]uint64{{common}},
		},
		"a part that was answered before is not blocked for servers that go down together": {
			reports: [][]CrashReport{answered(crashed(1, 0, []uint64{common, 11}), common), crashed(2, 10, []uint64{common, 12}),
				crashed(3, 20, []uint64{common, 13}), crashed(4, 30, []uint64{common, 14}), crashed(5, 40, []uint64{common, 15})},
		},
		// A rack loses its power.
		"servers that go down together block no part": {
			reports: [][]CrashReport{crashed(1, 0, deadlyPrompt), crashed(2, 10, deadlyPrompt), crashed(3, 40, deadlyPrompt),
				crashed(4, 60, deadlyPrompt)},
		},
		"a part that was answered since does not count": {
			reports:    [][]CrashReport{crashed(1, 0, deadlyPrompt), crashed(2, 500, deadlyPrompt), crashed(3, 1200, deadlyPrompt)},
			acquittals: [][]Acquittal{acquit(2, common, subject, deadly)},
		},
		// A bystander and the cause are retried at the same servers.
		"two parts that explain the same crashes are not blocked yet": {
			reports: [][]CrashReport{crashed(1, 0, deadlyPrompt, bystanderPrompt), crashed(2, 500, deadlyPrompt, bystanderPrompt),
				crashed(3, 1200, deadlyPrompt, bystanderPrompt)},
		},
		"the next crash tells the cause from the bystander": {
			reports: [][]CrashReport{crashed(1, 0, deadlyPrompt, bystanderPrompt), crashed(2, 500, deadlyPrompt, bystanderPrompt),
				crashed(3, 1200, deadlyPrompt, bystanderPrompt), crashed(4, 1300, deadlyPrompt)},
			want: [][]uint64{deadlyPrompt},
		},
		"after five crashes both are blocked": {
			reports: [][]CrashReport{crashed(1, 0, deadlyPrompt, bystanderPrompt), crashed(2, 500, deadlyPrompt, bystanderPrompt),
				crashed(3, 1200, deadlyPrompt, bystanderPrompt), crashed(4, 1300, deadlyPrompt, bystanderPrompt),
				crashed(5, 1400, deadlyPrompt, bystanderPrompt)},
			want: [][]uint64{deadlyPrompt, bystanderPrompt},
		},
		// One of the reporting instances is cut off.
		"a part above waits while a more specific one may be the cause": {
			reports: [][]CrashReport{crashed(1, 0, deadlyPrompt), crashed(2, 500, deadlyPrompt), crashed(3, 1200, []uint64{common, subject})},
		},
		"a part above that causes crashes under different parts is blocked": {
			reports: [][]CrashReport{crashed(1, 0, []uint64{subject, 11}), crashed(2, 500, []uint64{subject, 12}),
				crashed(3, 1200, []uint64{subject, 13})},
			want: [][]uint64{{subject}},
		},
		"two causes with crashes of their own": {
			reports: [][]CrashReport{crashed(1, 0, deadlyPrompt), crashed(2, 500, deadlyPrompt), crashed(3, 1200, deadlyPrompt),
				crashed(4, 100, bystanderPrompt), crashed(5, 600, bystanderPrompt), crashed(6, 1300, bystanderPrompt)},
			want: [][]uint64{deadlyPrompt, bystanderPrompt},
		},
		"parts in either order do not protect each other": {
			reports: [][]CrashReport{crashed(1, 0, []uint64{21, 22}), crashed(2, 500, []uint64{22, 21}), crashed(3, 1200, []uint64{21, 22}),
				crashed(4, 1300, []uint64{21, 22}), crashed(5, 1400, []uint64{21, 22})},
			want: [][]uint64{{21, 22}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				e := NewEvidence()
				var steps []func()
				for _, list := range tt.reports {
					steps = append(steps, func() { e.AddReports(list, now) })
				}
				for _, list := range tt.acquittals {
					steps = append(steps, func() { e.AddAcquittals(list, now) })
				}
				rand.New(rand.NewPCG(seed, 1)).Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })
				for _, step := range steps {
					step()
				}
				if got := blockedGroups(e); !slices.EqualFunc(got, tt.want, slices.Equal) {
					t.Fatalf("order %d: blocked %v, want %v", seed, got, tt.want)
				}
			}
		})
	}
}

// Guards against a request that was on the servers of others' crashes staying blocked after the cause is known.
func TestBystanderIsFreedOnceTheCauseIsKnown(t *testing.T) {
	e := NewEvidence()
	request := uint64(77)
	add := func(server int, at timer.Millis) {
		list := append(crashed(server, at, []uint64{common, deadly}), CrashReport{Server: fmt.Sprint("s", server), Incarnation: 1,
			Request: request, Parts: []uint64{common}, Age: now - at})
		e.AddReports(list, now)
	}
	add(1, 0)
	add(2, 600)
	if !blocks(e, request) {
		t.Fatal("a request that was on two crashed servers is not blocked")
	}
	add(3, 1200)
	if blocks(e, request, common) || !blocks(e, 0, common, deadly) {
		t.Fatalf("blocked %v, want prompts with the deadly part only", e.Verdicts())
	}
}

// Guards against blocking for ever: a crash counts for a while only.
func TestCrashesCountOnlyForAWhile(t *testing.T) {
	e := NewEvidence()
	report := func(server int, at timer.Millis) {
		e.AddReports([]CrashReport{{Server: fmt.Sprint("s", server), Incarnation: 1, Request: 7}}, at)
		e.Expire(at)
	}
	if report(1, 1000); blocks(e, 7) {
		t.Fatal("one crash blocks the request")
	}
	if report(2, 1000+evidenceLifetime+1); blocks(e, 7) {
		t.Fatal("two crashes far apart block the request")
	}
	if report(3, 2000+evidenceLifetime); !blocks(e, 7) {
		t.Fatal("two crashes do not block the request")
	}
	if e.Expire(3000 + 2*evidenceLifetime); blocks(e, 7) || e.HasReports() {
		t.Fatal("the request is blocked for longer than a crash counts")
	}
}

// An answer acquits the request and its parts of the crashes before it, on all instances, and not of those after it.
func TestAcquit(t *testing.T) {
	e := NewEvidence()
	e.AddReports(crashed(1, now-2000, []uint64{common, subject}), now)
	added := e.Acquit(1000, []uint64{common}, now)
	if len(added) != 2 {
		t.Fatalf("%d acquittals, want one of the request and one of the part", len(added))
	}
	if again := e.Acquit(1000, []uint64{common}, now); len(again) != 0 {
		t.Fatalf("the same answer acquits again: %v", again)
	}
	other := NewEvidence()
	other.AddAcquittals(added, now)
	for server := 1; server <= 4; server++ {
		other.AddReports(crashed(server, now-2000+timer.Millis(500*server), []uint64{common}), now)
	}
	if got := blockedGroups(other); !slices.EqualFunc(got, [][]uint64{{common}}, slices.Equal) {
		t.Fatalf("blocked %v: three crashes after the answer must count", got)
	}
}

// Guards against growth without bound under a flood of reports.
func TestEvidenceIsBounded(t *testing.T) {
	e := NewEvidence()
	var list []CrashReport
	for i := range uint64(maxReports + 100) {
		list = append(list, CrashReport{Server: "s", Incarnation: 1, Request: i})
	}
	e.AddReports(list, now)
	reports, _ := e.Snapshot(now)
	if len(reports) != maxReports {
		t.Fatalf("%d reports kept, want %d", len(reports), maxReports)
	}
}

// Load: crashes under prompts of as many parts as a header holds, and answers to such prompts. Guards against decisions that hold the
// evidence, which every request looks at, for seconds. The bound is on comparisons in the code: none grows with the square of the parts.
func TestLongPromptsAreDecidedSoon(t *testing.T) {
	const parts, crashes = 2600, 8
	prompt := func(n int) []uint64 {
		list := make([]uint64, parts)
		for i := range list {
			list[i] = uint64(i + 1)
			if i%2 == 1 {
				list[i] += uint64(n+1) << 32
			}
		}
		return list
	}
	done := make(chan *Evidence, 1)
	go func() {
		e := NewEvidence()
		for n := range 6 {
			list := make([]Acquittal, maxAcquittals/2)
			for i := range list {
				list[i] = Acquittal{Server: "other", Incarnation: int64(n), Trait: uint64(i)}
			}
			e.AddAcquittals(list, now-timer.Minute)
		}
		for n := range crashes {
			e.Report(crashed(n, now-timer.Millis(n)*timer.Second, prompt(n))[0], now)
			e.Acquit(1, prompt(crashes + n)[:2], now)
		}
		for n := range 200 {
			blocks(e, 1, prompt(n)...)
		}
		done <- e
	}()
	select {
	case e := <-done:
		groups := blockedGroups(e)
		if len(groups) != 1 || len(groups[0]) != parts/2-1 {
			t.Fatalf("%d groups are blocked, want one of %d parts", len(groups), parts/2-1)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the evidence is still being decided after 20 s")
	}
}
