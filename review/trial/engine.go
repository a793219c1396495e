package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	engineSlots = 64
	engineQueue = 134
)

// engine is a stand-in of a runner that runs a limited number of requests at once, lets a
// few more wait and refuses the rest.
type engine struct {
	id, service string
	work, gap   time.Duration
	events      int

	server           *http.Server
	address          string
	slots            chan struct{}
	running, waiting atomic.Int64
	startedAt        time.Time
	sequence         int

	mutex sync.Mutex
	// ran are the IDs of the requests that ran.
	ran map[string]bool
}

// addEngine starts an engine that writes its entry at each heartbeat. An answer has that
// many events with the gap between them after the work, or a body if there are none.
func (trial *trial) addEngine(id, service string, work, gap time.Duration, events int) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	engine := &engine{
		id: id, service: service, work: work, gap: gap, events: events, address: listener.Addr().String(),
		slots: make(chan struct{}, engineSlots), startedAt: time.Now(), ran: make(map[string]bool),
	}
	engine.server = &http.Server{Handler: engine, ReadHeaderTimeout: time.Minute}
	trial.loops.Go(func() { _ = engine.server.Serve(listener) }) // ends with the trial
	trial.engines = append(trial.engines, engine)
	trial.loops.Go(func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			engine.sequence++
			trial.store.Put("servers", id, map[string]any{
				"born": engine.startedAt.UnixMilli(), "service": service, "address": engine.address, "zone": "varnamo", "version": "v1",
				"slots": engineSlots, "state": "ready", "coldLeftMs": 0, "seq": engine.sequence,
			})
			select {
			case <-trial.closed:
				return
			case <-ticker.C:
			}
		}
	})
	return engine, nil
}

// ServeHTTP serves one request.
func (engine *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	id := request.Header.Get("Wisterialb-Attempt-Id")
	writer.Header().Set("Wisterialb-Attempt-Id", id)
	if expected := request.Header.Get("Wisterialb-Expect-Instance"); expected != "" && expected != engine.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !engine.enter(request.Context()) {
		writer.Header().Set("Wisterialb-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		engine.running.Add(-1)
		<-engine.slots
	}()
	engine.mutex.Lock()
	engine.ran[id] = true
	engine.mutex.Unlock()
	if !pause(request.Context(), engine.work) {
		return
	}
	writer.Header().Set("Wisterialb-Server-Load", fmt.Sprintf("%d,%d,%d", engine.running.Load(), engine.waiting.Load(), engineSlots))
	writer.Header().Set("Wisterialb-Server-Seal", "seal-of-"+engine.id)
	if engine.events == 0 {
		_, _ = fmt.Fprint(writer, "answer to "+id) //nolint:gosec // plain text for a stand-in of a consumer
		return
	}
	engine.stream(writer, request)
}

// enter waits for a slot. It reports false if too many wait.
func (engine *engine) enter(ctx context.Context) bool {
	if engine.waiting.Add(1) > engineQueue {
		engine.waiting.Add(-1)
		return false
	}
	defer engine.waiting.Add(-1)
	select {
	case engine.slots <- struct{}{}:
		engine.running.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (engine *engine) stream(writer http.ResponseWriter, request *http.Request) {
	first := 0
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &first) // zero without one
	writer.Header().Set("Content-Type", "text/event-stream")
	for event := first + 1; event <= engine.events; event++ {
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: token %d\n\n", event, event); err != nil {
			return
		}
		if err := http.NewResponseController(writer).Flush(); err != nil || !pause(request.Context(), engine.gap) {
			return
		}
	}
}

func pause(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

func (engine *engine) hasRun(id string) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.ran[id]
}
