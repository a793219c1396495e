// Command cases plays the cases of the review that a script shows. It starts
// routers as separate processes with the command of the deploy file, between a
// stand-in of the store, runners and consumers, all on loopback addresses.
//
//	cases budget DIRECTORY    a store that comes back from a copy (budget.go)
//	cases streams DIRECTORY   a runner that is killed while it sends streams (crash.go)
//	cases bodies DIRECTORY    the same for answers that are no streams
//	cases runner ...          one runner, started by the last two
//
// Each case writes DIRECTORY/record.txt and ends with status 1 if the rule was
// broken, 0 if it held and 2 if the case could not run. TROUBLE=0 in the
// environment leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun is the error of a case whose preconditions were not met.
var errNotRun = errors.New("the case could not run")

// playedCases maps the names of the cases to the functions that play them. They
// report whether the rule was broken.
var playedCases = map[string]func(record *record) (bool, error){
	"budget":  playBudget,
	"streams": streamCrash.play,
	"bodies":  plainCrash.play,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == runnerCommand {
		runRunner(os.Args[2:])
		return
	}
	os.Exit(play(os.Args[1:]))
}

func play(arguments []string) int {
	if len(arguments) != 2 || playedCases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases budget|streams|bodies DIRECTORY")
		return exitNotRun
	}
	record, err := newRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	broken, err := playedCases[arguments[0]](record)
	switch {
	case err != nil:
		record.note("result: not run: %v", err)
		return exitNotRun
	case broken:
		record.note("result: the rule was broken")
		return exitBroken
	default:
		record.note("result: the rule held")
		return exitHeld
	}
}

// hasTrouble reports whether the disruption is to be played.
func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }
