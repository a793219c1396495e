package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// silenceFor is how long a runner falls silent, silenceEvery the time between the begins
	// of two silences, and silenceTimes their number.
	silenceFor   = 1500 * time.Millisecond
	silenceEvery = 3 * time.Second
	silenceTimes = 9
	// workingOn is the number of model runners that work on when a channel closes.
	workingOn = 3
	// overlapLimit is how long a runner may still work on a request that goes on at another.
	overlapLimit = 400 * time.Millisecond
	eventTime    = 20 * time.Millisecond
	prefillTime  = 80 * time.Millisecond
)

// work is what a runner did for a request.
type work struct {
	runner      string
	first, last time.Time
	events      int
}

// workbook records the work of all runners, by the ID of the request.
type workbook struct {
	mutex sync.Mutex
	works map[string][]*work
}

// begin records that the runner makes the first event of its run.
func (workbook *workbook) begin(id, runner string) *work {
	workbook.mutex.Lock()
	defer workbook.mutex.Unlock()
	begun := &work{runner: runner, first: time.Now(), last: time.Now()}
	workbook.works[id] = append(workbook.works[id], begun)
	return begun
}

// event records an event of a run.
func (workbook *workbook) event(work *work) {
	workbook.mutex.Lock()
	defer workbook.mutex.Unlock()
	work.last = time.Now()
	work.events++
}

// overlaps notes the requests at which a runner still worked overlapLimit after they went
// on at another one, and returns their number.
func (workbook *workbook) overlaps(stage *stage) int {
	workbook.mutex.Lock()
	defer workbook.mutex.Unlock()
	count := 0
	for id, works := range workbook.works {
		for index, before := range works {
			for _, after := range works[index+1:] {
				if overlap := before.last.Sub(after.first); before.runner != after.runner && overlap > overlapLimit {
					count++
					stage.note("%s went on at runner %s, and runner %s still worked on it %d ms later, %d events in all",
						id, after.runner, before.runner, overlap.Milliseconds(), before.events)
				}
			}
		}
	}
	return count
}

// silence is the time until which a runner does nothing.
type silence struct {
	mutex sync.Mutex
	until time.Time
}

func (silence *silence) begin(duration time.Duration) {
	silence.mutex.Lock()
	defer silence.mutex.Unlock()
	silence.until = time.Now().Add(duration)
}

// wait returns after the duration, or at the end of a silence that has begun by then.
func (silence *silence) wait(duration time.Duration) {
	for duration > 0 {
		time.Sleep(duration)
		silence.mutex.Lock()
		duration = time.Until(silence.until)
		silence.mutex.Unlock()
	}
}

// runSilences lets the runners that work on when a channel closes fall silent in turn, and
// looks for requests that run at two runners.
func runSilences(stage *stage, trouble bool) (bool, error) {
	stage.store.Put("op", "config", mustJSON(newConfiguration(1<<40)))
	workbook := &workbook{works: make(map[string][]*work)}
	never, silences := &silence{}, make(map[string]*silence, workingOn)
	for number := range workingOn {
		silences[workingOnID(number)] = &silence{}
	}
	serveOn := func(runner *runner, connection net.Conn, request *http.Request, body []byte) bool {
		return serveWork(workbook, silences[runner.id], false)(runner, connection, request, body)
	}
	if err := stage.newRunners(serveWork(workbook, never, true), serveOn, workingOn, 0); err != nil {
		return false, err
	}
	router, err := stage.startRouter(1)
	if err != nil {
		return false, err
	}
	for number := range silenceTimes {
		if !trouble {
			break
		}
		time.AfterFunc(troubleAfter+time.Duration(number)*silenceEvery, func() {
			id := workingOnID(number % workingOn)
			stage.note("runner %s falls silent for %d ms", id, silenceFor.Milliseconds())
			silences[id].begin(silenceFor)
		})
	}
	traffic := newTraffic(stage, router.front())
	traffic.run(troubleAfter + silenceTimes*silenceEvery)
	time.Sleep(silenceFor) // the last runs end
	overlaps := workbook.overlaps(stage)
	stage.note("answers: %v", traffic.counts)
	stage.note("%d requests went on at a runner while the one before still worked on them", overlaps)
	return overlaps > 0, nil
}

func workingOnID(number int) string { return fmt.Sprintf("i-%s-%d", llm, number) }

// serveWork answers streams. A runner that drops ends a run when its channel closes.
func serveWork(workbook *workbook, silence *silence, drops bool) serveRequest {
	return func(runner *runner, connection net.Conn, request *http.Request, body []byte) bool {
		class, ok := classOf(request)
		if !ok || class.events == 0 {
			return serveSound(runner, connection, request, body)
		}
		id := request.Header.Get("Wisterialb-Attempt-Id")
		event, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // without one, zero
		silence.wait(prefillTime)
		work := workbook.begin(id, runner.id)
		_, err := fmt.Fprint(connection, runner.head("200 OK", request, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"))
		for event++; event <= class.events && (err == nil || !drops); event++ {
			workbook.event(work)
			text := fmt.Sprintf("id: %d\ndata: %s\n\n", event, strings.Repeat("t", 40))
			if err == nil {
				_, err = fmt.Fprintf(connection, "%x\r\n%s\r\n", len(text), text)
			}
			silence.wait(eventTime)
		}
		if err == nil {
			_, err = fmt.Fprint(connection, "0\r\n\r\n")
		}
		return err == nil
	}
}
