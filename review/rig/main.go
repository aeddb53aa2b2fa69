package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

func main() {
	cases := map[string]func(*fleet, bool) (verdict, error){
		"parts": playParts, "drip": playDrip, "heads": playHeads, "joined": playJoined, "tail": playTail,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER, in the root of the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays one case; the disruption is left out if TROUBLE is 0.
func play(run func(*fleet, bool) (verdict, error), folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stop()
	go f.watch()
	v, err := run(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.note("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case v.broken:
		r.note("BROKEN: %s", v.text)
		fmt.Println("BROKEN:", v.text)
		return exitBroken
	}
	r.note("held: %s", v.text)
	fmt.Println("held:", v.text)
	return exitHeld
}
