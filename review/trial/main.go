// Command trial plays the scripted cases of the third review. Each case starts the
// routers as processes of their own, with stand-ins for the store, the runners and the
// consumers on loopback addresses, and judges one rule by what these have seen.
//
//	trial CASE FOLDER
//
// It is run at the root of the repository, after the build of the deploy file. It writes
// FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case couldn't run. TROUBLE=0 plays the case without its disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(trial *trial) (bool, error){
	"unstated": playUnstated,
	"batch":    playBatch,
	"long":     playLong,
	"night":    playNight,
	"rare":     playRare,
}

func main() {
	code, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "trial:", err)
	}
	os.Exit(code)
}

func run(args []string) (int, error) {
	if len(args) != 2 {
		return exitNotRun, fmt.Errorf("usage: trial CASE FOLDER")
	}
	play, ok := cases[args[0]]
	if !ok {
		return exitNotRun, fmt.Errorf("unknown case %q", args[0])
	}
	record, err := os.Create(filepath.Join(args[1], "record.txt")) //nolint:gosec // the folder of the case
	if err != nil {
		return exitNotRun, err
	}
	defer record.Close()
	trial, err := newTrial(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		return exitNotRun, err
	}
	defer trial.close()
	broken, err := play(trial)
	switch {
	case err != nil:
		trial.note("the case couldn't run: %v", err)
		return exitNotRun, err
	case broken:
		trial.note("result: the rule was broken")
		return exitBroken, nil
	default:
		trial.note("result: the rule held")
		return exitHeld, nil
	}
}
