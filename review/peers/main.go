// Package main runs the cases of a review: routers as separate processes between
// stand-ins of the store, the runners and the clients, on loopback addresses.
//
// The flow: main starts a stage (stage.go) and runs one case, which writes what was sent,
// answered and run to a record and reports whether the rule was broken.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime is when a case that has not ended is stopped.
const maxRunTime = 112 * time.Second

// runCase runs a case and reports whether the rule was broken. Without trouble it does the
// same without the disruption.
type runCase func(stage *stage, trouble bool) (bool, error)

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	cases := map[string]runCase{
		"endless-heads": runEndlessHeads, "nameless-failures": runNamelessFailures,
		"crowd": runCrowd, "silences": runSilences, "head-refusals": runHeadRefusals,
	}
	if len(arguments) != 1 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage, in the folder of the case: review-peers CASE")
		return exitNotRun
	}
	stage, err := newStage()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer stage.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxRunTime):
		}
		stage.note("the case was stopped")
		stage.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[arguments[0]](stage, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		stage.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		stage.note("the rule was broken")
		return exitBroken
	default:
		stage.note("the rule held")
		return exitHeld
	}
}
