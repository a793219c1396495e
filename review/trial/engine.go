package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in of a model runner whose process ends while it writes the head of
// its answer to a prompt with the deadly part.
type engine struct {
	id      string
	address string

	mutex  sync.Mutex
	server *http.Server
	// startedAt is the start of the current process, and downUntil the end of the time after
	// a crash in which there is none.
	startedAt, crashedAt, downUntil time.Time
	sequence                        int
	crashes                         []time.Time
	// arrivals are the requests that reached it.
	arrivals []engineArrival
}

// engineArrival is a request that reached an engine.
type engineArrival struct {
	id string
	at time.Time
}

const (
	engineEvents = 8
	engineGap    = 25 * time.Millisecond
	// engineWork is the time to the first event.
	engineWork      = 60 * time.Millisecond
	restartInterval = 20 * time.Millisecond
)

// addEngine starts an engine that writes its entry at each heartbeat.
func (trial *trial) addEngine(id string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	engine := &engine{id: id, address: listener.Addr().String()}
	engine.serve(listener)
	trial.engines = append(trial.engines, engine)
	trial.loops.Go(func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			trial.writeEngineEntry(engine)
			select {
			case <-trial.closed:
				return
			case <-ticker.C:
			}
		}
	})
	return nil
}

func (trial *trial) writeEngineEntry(engine *engine) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	if now.Before(engine.downUntil) {
		if now.Sub(engine.crashedAt) > silentHeartbeats*heartbeat {
			trial.store.Remove("servers", engine.id)
		}
		return
	}
	engine.sequence++
	trial.store.Put("servers", engine.id, map[string]any{
		"born": engine.startedAt.UnixMilli(), "service": "llm", "address": engine.address, "zone": "varnamo", "version": "v1",
		"slots": 64, "state": "ready", "coldLeftMs": 0, "seq": engine.sequence,
	})
}

// serve starts a process of the engine.
func (engine *engine) serve(listener net.Listener) {
	server := &http.Server{Handler: engine, ReadHeaderTimeout: time.Minute}
	engine.server, engine.startedAt = server, time.Now()
	go func() { _ = server.Serve(listener) }() // ends with the process
}

// crash ends the process with its channels, and starts another one after downTime.
func (engine *engine) crash() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	if now.Before(engine.downUntil) {
		return
	}
	engine.crashes = append(engine.crashes, now)
	engine.crashedAt, engine.downUntil = now, now.Add(downTime)
	_ = engine.server.Close() // its channels, too
	time.AfterFunc(downTime, engine.restart)
}

func (engine *engine) restart() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	listener, err := net.Listen("tcp", engine.address)
	if err != nil {
		time.AfterFunc(restartInterval, engine.restart)
		return
	}
	engine.serve(listener)
}

// close ends the engine.
func (engine *engine) close() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	_ = engine.server.Close() // it ends with the trial
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
	engine.mutex.Lock()
	engine.arrivals = append(engine.arrivals, engineArrival{id: id, at: time.Now()})
	engine.mutex.Unlock()
	if !pause(request.Context(), engineWork) {
		return
	}
	parts := strings.Split(request.Header.Get("Wisterialb-Prompt-Prefix"), ",")
	for _, part := range parts[:max(len(parts)-1, 0)] {
		if strings.HasPrefix(part, deadlyPart+":") {
			engine.beginAnswer(writer)
			engine.crash()
			panic(http.ErrAbortHandler)
		}
	}
	writer.Header().Set("Wisterialb-Server-Load", "1,0,64")
	writer.Header().Set("Wisterialb-Server-Seal", "seal-of-"+engine.id)
	first := 0
	_, _ = fmt.Sscan(cmp.Or(request.Header.Get("Last-Event-Id"), "0"), &first) // zero without a number
	writer.Header().Set("Content-Type", "text/event-stream")
	for event := first + 1; event <= engineEvents; event++ {
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: token %d\n\n", event, event); err != nil {
			return
		}
		if err := http.NewResponseController(writer).Flush(); err != nil || !pause(request.Context(), engineGap) {
			return
		}
	}
}

// beginAnswer writes the begin of an answer, which the crash cuts off in its head.
func (engine *engine) beginAnswer(writer http.ResponseWriter) {
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nWisterialb-Server-Load: 1,0,64\r\n") // it crashes next
	_ = connection.Close()
}

func pause(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// playRare sends a prompt with the part now and then, beside sound ones.
func playRare(trial *trial) (bool, error) {
	const (
		runners, routers = 9, 3
		gap              = 12400 * time.Millisecond
		prompt           = 9
	)
	trial.store.Put("op", "config", []byte(streamConfig))
	for number := range runners {
		if err := trial.addEngine(fmt.Sprintf("i-llm-%d", number+1)); err != nil {
			return false, err
		}
	}
	if err := trial.startRouters(routers); err != nil {
		return false, err
	}
	prompts := newPrompts(trial)
	stopped := make(chan struct{})
	prompts.senders.Go(func() { prompts.sendSound(80*time.Millisecond, stopped) })
	time.Sleep(stable + time.Second)
	for number := range prompt {
		prompts.send(true)
		if number < prompt-1 {
			time.Sleep(gap)
		}
	}
	time.Sleep(time.Second)
	close(stopped)
	return prompts.judge()
}
