package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// releaseCount is the number of model runners that a release replaces, less than half
	// of them, and releaseGap the time between two.
	releaseCount = 4
	releaseGap   = time.Second
	// drainTime is how long a leaving runner still serves.
	drainTime = 2 * time.Second
)

// runReleasedLineEnds replaces some model runners one after the other by a version that
// ends the lines of its events with CR LF, and compares the bodies that clients get with
// those of the runners.
func runReleasedLineEnds(stage *stage, trouble bool) (bool, error) {
	stage.store.Put("op", "config", mustJSON(newConfiguration(1<<40)))
	ledger := newLedger()
	if err := stage.newRunners(serveLines(stage, ledger, "\n"), nil, 0, 0); err != nil {
		return false, err
	}
	router, err := stage.startRouter(1)
	if err != nil {
		return false, err
	}
	released := make(chan error, 1)
	go func() {
		time.Sleep(troubleAfter)
		if trouble {
			released <- stage.release(serveLines(stage, ledger, "\r\n"))
			return
		}
		released <- nil
	}()
	traffic := newTraffic(stage, router.front())
	var whole, wrong atomic.Int64
	traffic.check = func(_ class, id string, answer answer) {
		switch {
		case answer.status != http.StatusOK || answer.err != nil:
		case ledger.gaveBody(id, string(answer.body)):
			whole.Add(1)
		default:
			wrong.Add(1)
			stage.note("client gets 200 with the seal %q and a body of %d bytes for %s, which no runner gave: %q",
				answer.header.Get("Wisterialb-Server-Seal"), len(answer.body), id, answer.body)
		}
	}
	traffic.run(trafficFor)
	stage.note("answers: %v", traffic.counts)
	stage.note("%d whole bodies, %d others", whole.Load(), wrong.Load())
	return wrong.Load() > 0, <-released
}

// release starts new model runners, and drains and removes an old one for each.
func (stage *stage) release(serve serveRequest) error {
	for number := range releaseCount {
		if err := stage.newRunner(fmt.Sprintf("i-%s-new-%d", llm, number), llm, llmSlots, serve); err != nil {
			return err
		}
		old := stage.runners[number]
		stage.store.Put("servers", old.id, old.entry("draining", llmSlots))
		stage.note("runner %s drains, a new one has started", old.id)
		time.AfterFunc(drainTime, func() { stage.store.Remove("servers", old.id) })
		time.Sleep(releaseGap)
	}
	return nil
}

// serveLines answers whole streams whose lines have the given end, and bodies.
func serveLines(stage *stage, ledger *ledger, lineEnd string) serveRequest {
	return func(runner *runner, connection net.Conn, request *http.Request, _ []byte) bool {
		class, ok := classOf(request)
		if !ok {
			return false
		}
		body, contentType := strings.Repeat("a", 800), "text/plain"
		if class.events > 0 {
			body, contentType = eventsOf(class.events, lineEnd), "text/event-stream"
		}
		time.Sleep(30 * time.Millisecond)
		ledger.add(request, http.StatusOK, body)
		stage.note("runner %s answers %s with %d bytes", runner.id, request.Header.Get("Wisterialb-Attempt-Id"), len(body))
		head := runner.head("200 OK", request, "Content-Type: "+contentType, fmt.Sprintf("Content-Length: %d", len(body)))
		_, err := fmt.Fprint(connection, head+body)
		return err == nil
	}
}

// eventsOf returns a whole stream.
func eventsOf(count int, lineEnd string) string {
	var text strings.Builder
	for event := 1; event <= count; event++ {
		fmt.Fprintf(&text, "id: %d%sdata: token %d%s%s", event, lineEnd, event, lineEnd, lineEnd)
	}
	return text.String()
}
