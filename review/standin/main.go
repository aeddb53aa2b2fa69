// Command standin runs the cases of the review: it starts the program under test as separate processes, with stand-in
// backend servers, callers, operator and balancer, and judges a rule by what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", ".", "folder of record.txt")
	flag.Parse()
	os.Exit(run(*name, *folder))
}

func run(name, folder string) int {
	cases := map[string]func(*record, bool) (verdict, error){
		"deadly-part":    runDeadlyPart,
		"joined-answers": runJoined,
		"leaving":        runLeaving,
		"roll-outs":      runRollouts,
		"unheard-leave":  runUnheard,
	}
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	go runWatch(rec)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %v", name, trouble)
	v, err := play(rec, trouble)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitFailed
	case v.broken:
		rec.say("BROKEN: %s", v.text)
		return exitBroken
	}
	rec.say("held: %s", v.text)
	return exitHeld
}

// maxRun is how long a case may run.
const maxRun = 115 * time.Second

// runWatch ends all processes of the case when it is interrupted or runs for too long.
func runWatch(rec *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case s := <-signals:
		rec.say("the case is interrupted: %s", s)
	case <-time.After(maxRun):
		rec.say("the case takes longer than %s", maxRun)
	}
	killStarted()
	os.Exit(exitFailed)
}
