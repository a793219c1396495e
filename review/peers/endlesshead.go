package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// troubleFor is how long the runners are in trouble, the length of the users' garble.
	troubleFor = 5 * time.Second
	// headBurstBytes are sent at once of a head without end; then a field follows each
	// headPause.
	headBurstBytes = 60 << 10
	headPause      = 100 * time.Millisecond
)

// shortFields returns header fields with short different names.
func shortFields(bytes int) string {
	var text strings.Builder
	for number := 0; text.Len() < bytes; number++ {
		text.WriteString(strconv.FormatInt(int64(36*36+number), 36) + ":\n")
	}
	return text.String()
}

// runEndlessHeads lets some runners answer with heads without end for a while.
func runEndlessHeads(stage *stage, trouble bool) (bool, error) {
	stage.store.Put("op", "config", mustJSON(newConfiguration(1<<40)))
	var inTrouble atomic.Bool
	fields := shortFields(headBurstBytes)
	serveEndless := func(runner *runner, connection net.Conn, request *http.Request, body []byte) bool {
		if !inTrouble.Load() {
			return serveSound(runner, connection, request, body)
		}
		stage.note("runner %s gets %s and sends a head without end", runner.id, request.Header.Get("Wisterialb-Attempt-Id"))
		_, err := fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nWisterialb-Attempt-Id: %s\r\n%s", request.Header.Get("Wisterialb-Attempt-Id"), fields)
		for number := 0; err == nil; number++ {
			time.Sleep(headPause)
			_, err = fmt.Fprintf(connection, "b%x:\n", number)
		}
		return false
	}
	if err := stage.newRunners(serveSound, serveEndless, llmRunners, 0); err != nil {
		return false, err
	}
	router, err := stage.startRouter(1)
	if err != nil {
		return false, err
	}
	memory := router.enforceMemory()
	if trouble {
		time.AfterFunc(troubleAfter, func() { inTrouble.Store(true) })
		time.AfterFunc(troubleAfter+troubleFor, func() { inTrouble.Store(false) })
	}
	traffic := newTraffic(stage, router.front())
	traffic.run(trafficFor)
	broken := memory.end()
	stage.note("answers: %v", traffic.counts)
	return broken, nil
}
