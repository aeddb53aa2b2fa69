package assembler

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// matrixRow is a row of the fault matrix. For each step it has the test that injects the fault there, or the reason why
// the fault cannot arise or is not proved.
type matrixRow struct {
	fault   string
	request string
	order   string
	bill    string
	change  string
	promise string
}

const (
	notApplicable = "cannot arise: "
	notProved     = "not proved: "
)

// faultMatrix returns the table from which docs/FAULT-MATRIX.md is generated.
func faultMatrix() []matrixRow {
	return []matrixRow{
		{"backend server crashes", "TestCrashedServerGetsNoNewRequestsAndStreamsResume", "TestOrdersRunAtMostOnce", "TestConcurrentAnswersReachTheirOwnCaller", notApplicable + "changes use no backend server", "whole answers, at most once"},
		{"backend server falls silent", "TestSilenceStopsNewWorkWithinThreeSeconds", "TestOrdersRunAtMostOnce", notApplicable + "no bill without an answer", notApplicable + "changes use no backend server", "no new work after 3 s"},
		{"backend server leaves", "TestDrainingServerFinishesRequestsAndGetsNoNewOnes", "TestOrdersRunOnceWhileAServiceDrains", "TestDemoKeepsEveryPromise", notApplicable + "changes use no backend server", "graceful leaving"},
		{"backend server is slow", "TestOneSlowServerDoesNotRaiseLatency", "TestMarkSlowLimitsMarkedServers", notApplicable + "bills use no backend server", notApplicable + "changes use no backend server", "latency"},
		{"backend server refuses", "TestConcurrentAnswersReachTheirOwnCaller", "TestOrdersRunAtMostOnce", "TestConcurrentAnswersReachTheirOwnCaller", notApplicable + "changes use no backend server", "refused means not run"},
		{"answer cut, repeated, empty", "TestEmptyAnswersEscalateToTheCostlierVersion", "TestEmptyLookupAnswerIsRetried", "TestConcurrentAnswersReachTheirOwnCaller", notApplicable + "changes have no such answer", "whole answers"},
		{"version turns bad", "TestBadVersionIsWithdrawnOnAllInstances", notApplicable + "orders use no version", notApplicable + "a bad answer is billed like a good one", "TestABadVersionIsHaltedWithinFiftyBadAnswers", "exposure"},
		{"pool out of capacity", "TestTracesMeetTheTargets", "TestQueueShedsTheLeastUrgentFirst", notApplicable + "bills use no pool", notApplicable + "changes use no pool", "no storm, fair shares"},
		{"roll-out stops halfway", "TestSessionKeepsItsVersion", notApplicable + "orders use no version", notApplicable + "no influence on bills", "TestAcceptedChangesSurviveLeaderLossAndFullRestart", "sessions keep their version"},
		{"instance crashes", "TestNineProcessesUnderFaults", "TestNineProcessesUnderFaults", "TestNineProcessesUnderFaults", "TestAcceptedChangesSurviveLeaderLossAndFullRestart", "all"},
		{"instance restarts", "TestNineProcessesUnderFaults", "TestResendAfterEachStep", "TestBillsOutlastARestart", "TestRecordRestartsAfterAThousandChanges", "all"},
		{"instance gets SIGTERM", "TestGracefulStopFinishesAllStreams", "TestNineProcessesUnderFaults", "TestNineProcessesUnderFaults", "TestTransferMovesLeadershipWithinAnElection", "no request cut off"},
		{"instance isolated silently", "TestIsolatedDataCentreServesOnlyIdempotentRequests", "TestIsolatedDataCentreServesOnlyIdempotentRequests", "TestBillsOfIsolatedInstanceAreReplicatedAfterHealing", "TestIsolatedLeaderAcceptsNoChangesAndRejoins", "accepted never reverts"},
		{"one-way partition", "TestIsolatedLeaderAcceptsNoChangesAndRejoins", "TestOrdersRunAtMostOnceDuringOneWayPartition", "TestBillsOfIsolatedInstanceAreReplicatedAfterHealing", "TestAnIsolatedLeaderStopsAnsweringBeforeAnotherIsElected", "one leader"},
		{"data centre cut off", "TestIsolatedDataCentreServesOnlyIdempotentRequests", "TestIsolatedDataCentreServesOnlyIdempotentRequests", "TestTotalsCountEachKeyOnceAndFindConflicts", "TestIsolatedDataCentreServesOnlyIdempotentRequests", "serves what it can"},
		{"lost disk", notApplicable + "requests use no disk", "TestVoterWithLostDiskIsReplacedBeforeSecondLoss", "TestNineProcessesUnderFaults", "TestAWipedVoterReturnsAsAnotherMember", "accepted never reverts"},
		{"torn or failed write", notApplicable + "requests use no disk", "TestJournalSurvivesACrashAtEveryStep", "TestAFailedBillMayBeWrittenAgain", "TestJournalSurvivesACrashAtEveryStep", "durable once acknowledged"},
		{"second loss after a repair", "TestNineProcessesUnderFaults", "TestASecondVoterIsLostRightAfterARepair", "TestNineProcessesUnderFaults", "TestVoterWithLostDiskIsReplacedBeforeSecondLoss", "accepted never reverts"},
		{"operators race", notApplicable + "a request pins one view", notApplicable + "orders use no change", notApplicable + "bills use no change", "TestChangesAreLinearizable", "one winner"},
		{"resend after a lost answer", "TestNineProcessesUnderFaults", "TestOrdersRunAtMostOnce", "TestOneBillForEachKey", "TestPromotionAndResendsThroughASnapshot", "once"},
		{"restart after hundreds of changes", notApplicable + "requests use the newest view", notApplicable + "claims are in the same log", notApplicable + "bills have a journal of their own", "TestRecordRestartsAfterAThousandChanges", "never reverts"},
		{"request crashes its servers, resent", "TestRequestThatCrashesServersCrashesTwoAtMost", "TestOrderThatCrashesServicesCrashesTwoAtMost", "TestRequestThatCrashesServersCrashesTwoAtMost", notApplicable + "changes use no backend server", "two servers at most"},
		{"late load reports", "TestTracesMeetTheTargets", notApplicable + "services report no load here", notApplicable + "no influence on bills", notApplicable + "no influence on changes", "latency"},
		{"late and lost cache events", notProved + "cache events are not taken in", notApplicable + "orders use no cache", notApplicable + "no influence on bills", notApplicable + "no influence on changes", "latency"},
		{"rating service away", "TestAnOutageOfTheRatingsWidensTheBounds", notApplicable + "orders are not rated", notApplicable + "no influence on bills", notApplicable + "no influence on changes", "cost at quality"},
		{"weight store away", notProved + "orders to engines are not built", notApplicable + "orders use no weights", notApplicable + "no influence on bills", notApplicable + "no influence on changes", "exposure"},
		{"loss, delay, repetition between voters", notApplicable + "requests use no voter", "TestRandomFaultsKeepTheInvariants", notApplicable + "bills use no voter", "TestRandomFaultsKeepTheInvariants", "one history"},
		{"clock jumps", notProved + "the clock moves evenly by design", notProved + "the same", notProved + "the same", notProved + "the same", "leases"},
	}
}

func (r matrixRow) testCells() []string {
	return []string{r.request, r.order, r.bill, r.change}
}

// testFunctionNames returns the names of all functions in the test files of the repository.
func testFunctionNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir("../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		for _, d := range file.Decls {
			if f, ok := d.(*ast.FuncDecl); ok {
				names[f.Name.Name] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

func TestFaultMatrixNamesRealTestsAndIsUpToDate(t *testing.T) {
	names := testFunctionNames(t)
	var b strings.Builder
	b.WriteString("# Fault matrix\n\nPrinted from the table in `internal/assembler/matrix_test.go`. A cell names the test that brings the fault\n" +
		"about at that step, or says why it cannot arise, or that it is not proved.\n\n" +
		"| fault | model request | order (claim) | bill | change | promise |\n| --- | --- | --- | --- | --- | --- |\n")
	unprovedCells := 0
	for _, row := range faultMatrix() {
		for _, cell := range row.testCells() {
			switch {
			case strings.HasPrefix(cell, notProved):
				unprovedCells++
			case !strings.HasPrefix(cell, notApplicable) && !names[cell]:
				t.Errorf("%s: test %s does not exist", row.fault, cell)
			}
		}
		fmt.Fprintf(&b, "| %s | %s | %s |\n", row.fault, strings.Join(row.testCells(), " | "), row.promise)
	}
	fmt.Fprintf(&b, "\n%d cells are not proved. Pairs of faults: the random runs of the record combine them; crashes of an\n"+
		"instance, its restart and those of engines come together in the run of nine processes.\n", unprovedCells)
	g := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "FAULT-MATRIX", []byte(b.String()))
}
