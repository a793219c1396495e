package main

import (
	"net"
	"net/http"
	"sync/atomic"
)

// oddTargets are targets with characters that browsers and command-line clients send as
// they are.
var oddTargets = []string{"thatch|bundle", "roof^2", "quote{7}", "order/|"}

// runOddPaths lets clients send targets with such characters, and compares those that
// runners get.
func runOddPaths(stage *stage, trouble bool) (bool, error) {
	stage.store.Put("op", "config", mustJSON(newConfiguration(1<<40)))
	var changed atomic.Int64
	sent := &targets{}
	serve := func(runner *runner, connection net.Conn, request *http.Request, body []byte) bool {
		id := request.Header.Get("Wisterialb-Attempt-Id")
		if target := sent.of(id); target != request.RequestURI {
			changed.Add(1)
			stage.note("runner %s runs %s with the target %q, its client sent %q", runner.id, id, request.RequestURI, target)
		}
		return serveSound(runner, connection, request, body)
	}
	if err := stage.newRunners(serve, nil, 0, 0); err != nil {
		return false, err
	}
	router, err := stage.startRouter(1)
	if err != nil {
		return false, err
	}
	traffic := newTraffic(stage, router.front())
	traffic.target = func(class class, id uint64) string {
		target := class.target
		if trouble && id%oddEvery == 0 {
			target += oddTargets[id/oddEvery%uint64(len(oddTargets))]
		}
		sent.add(id, target)
		return target
	}
	traffic.run(trafficFor)
	stage.note("answers: %v", traffic.counts)
	stage.note("%d requests ran with another target", changed.Load())
	return changed.Load() > 0, nil
}
