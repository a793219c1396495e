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
	// failureStatus is a server error without a registered name.
	failureStatus = 529
	failureBody   = "overloaded, not recorded"
	greySeed      = 48
)

// runNamelessFailures lets the runners of the plain service fail a part of their requests, and compares the answers of clients with those of the runners.
func runNamelessFailures(stage *stage, trouble bool) (bool, error) {
	stage.store.Put("op", "config", mustJSON(newConfiguration(1<<40)))
	var inTrouble atomic.Bool
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
		if !inTrouble.Load() || !<-fails {
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
	if trouble {
		time.AfterFunc(troubleAfter, func() { inTrouble.Store(true) })
		time.AfterFunc(troubleAfter+greyFor, func() { inTrouble.Store(false) })
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
	traffic.run(trafficFor)
	stage.note("answers: %v", traffic.counts)
	stage.note("%d failures of runners became successes", wrong.Load())
	return wrong.Load() > 0, nil
}
