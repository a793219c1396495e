package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// failingShare is the share of its requests that a grey runner fails, for greyFor.
	failingShare = 0.4
	greyFor      = 6500 * time.Millisecond
	// greyEvery is the time between the begins of two disruptions, and greyTimes their
	// number. They hit the runners in turn.
	greyEvery = 7 * time.Second
	greyTimes = 11
	// failureStatus is a server error without a registered name.
	failureStatus = 529
	failureBody   = "overloaded, not recorded"
	greySeed      = 48
)

// runNamelessFailures lets one runner of the plain service after the other fail a part of
// its requests for a while, and compares the answers of clients with those of the runners.
func runNamelessFailures(stage *stage, trouble bool) (bool, error) {
	stage.store.Put("op", "config", mustJSON(newConfiguration(1<<40)))
	var greyRunner atomic.Value
	greyRunner.Store("")
	ledger := newLedger()
	random := rand.New(rand.NewPCG(greySeed, greySeed))
	fails := make(chan bool)
	go func() {
		for {
			fails <- random.Float64() < failingShare
		}
	}()
	serve := func(runner *runner, connection net.Conn, request *http.Request, body []byte) bool {
		ledger.add(request, http.StatusOK, "")
		return serveSound(runner, connection, request, body)
	}
	serveGrey := func(runner *runner, connection net.Conn, request *http.Request, body []byte) bool {
		if greyRunner.Load() != runner.id || !<-fails {
			return serve(runner, connection, request, body)
		}
		ledger.add(request, failureStatus, failureBody)
		stage.note("runner %s fails %s with status %d", runner.id, request.Header.Get("Wisterialb-Attempt-Id"), failureStatus)
		_, err := fmt.Fprintf(connection, "%s%s", runner.head(fmt.Sprintf("%d Overloaded", failureStatus), request, fmt.Sprintf("Content-Length: %d", len(failureBody))), failureBody)
		return err == nil
	}
	if err := stage.newRunners(serve, serveGrey, 0, deskRunners); err != nil {
		return false, err
	}
	router, err := stage.startRouter(1)
	if err != nil {
		return false, err
	}
	for number := range greyTimes {
		if !trouble {
			break
		}
		begin := troubleAfter + time.Duration(number)*greyEvery
		time.AfterFunc(begin, func() { greyRunner.Store(fmt.Sprintf("i-%s-%d", desk, number%deskRunners)) })
		time.AfterFunc(begin+greyFor, func() { greyRunner.Store("") })
	}
	traffic := newTraffic(stage, router.front())
	var wrong atomic.Int64
	traffic.check = func(id string, answer answer) {
		if answer.status == http.StatusOK && !ledger.gave(id, http.StatusOK) {
			wrong.Add(1)
			stage.note("client gets %d with the seal %q and the body %q for %s, which a runner failed with %d",
				answer.status, answer.header.Get("Wisterialb-Server-Seal"), answer.body, id, failureStatus)
		}
	}
	traffic.run(troubleAfter + greyTimes*greyEvery)
	stage.note("answers: %v", traffic.counts)
	stage.note("%d failures of runners became successes", wrong.Load())
	return wrong.Load() > 0, nil
}
