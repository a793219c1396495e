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
	// troubleFor is how long the runners are in trouble, less than the longest garble of the
	// site, troubleEvery the time between the begins of two troubles, and troubleTimes their
	// number.
	troubleFor   = 6500 * time.Millisecond
	troubleEvery = 12 * time.Second
	troubleTimes = 3
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

// runEndlessHeads lets the model runners answer with heads without end, three times for a while.
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
	addresses, err := stage.startRouters(minMachines)
	if err != nil {
		return false, err
	}
	memory := stage.enforceMemory()
	for number := range troubleTimes {
		if !trouble {
			break
		}
		begin := troubleAfter + time.Duration(number)*troubleEvery
		time.AfterFunc(begin, func() { inTrouble.Store(true) })
		time.AfterFunc(begin+troubleFor, func() { inTrouble.Store(false) })
	}
	traffic := newTraffic(stage, addresses...)
	traffic.run(troubleAfter + troubleTimes*troubleEvery)
	broken := memory.end()
	stage.note("answers: %v", traffic.counts)
	return broken, nil
}
