package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// crashingRunners are the runners that run as processes of their own and are killed
	// one after the other, and crashEvery the time between two kills.
	crashingRunners = 2
	crashEvery      = 5 * time.Second
	// silentTime is how long the store keeps the entry of a silent runner: three times its
	// heartbeat.
	silentTime = 3600 * time.Millisecond
	// runnerCommand makes this program one runner.
	runnerCommand = "runner"
)

// serveUnframed answers with a stream that has neither a length nor chunks and ends with
// its connection.
func serveUnframed(runner *runner, connection net.Conn, request *http.Request, body []byte) bool {
	class, ok := classOf(request)
	if !ok || class.events == 0 {
		return serveSound(runner, connection, request, body)
	}
	time.Sleep(80 * time.Millisecond)
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // without one, zero
	_, err := fmt.Fprint(connection, runner.head("200 OK", request, "Content-Type: text/event-stream", "Connection: close"))
	for event := first + 1; err == nil && event <= class.events; event++ {
		_, err = fmt.Fprintf(connection, "id: %d\ndata: %s\n\n", event, strings.Repeat("t", 40))
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// runRunner serves as one model runner until the process is killed.
func runRunner(id string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(os.Stdout, listener.Addr()); err != nil {
		return err
	}
	serveAll(&runner{id: id, service: llm, listener: listener, serve: serveUnframed})
	return nil
}

// runnerProcess is a runner in a process of its own.
type runnerProcess struct {
	entry   *runner
	process *exec.Cmd
}

// startRunnerProcess starts a runner in a process of its own and registers it.
func (stage *stage) startRunnerProcess(id string) (*runnerProcess, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	process := exec.Command(program, runnerCommand, id) //nolint:gosec // this program itself
	output, err := process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := process.Start(); err != nil {
		return nil, err
	}
	stage.children = append(stage.children, process)
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		return nil, err
	}
	address, err := net.ResolveTCPAddr("tcp", strings.TrimSpace(line))
	if err != nil {
		return nil, err
	}
	entry := &runner{id: id, service: llm, born: time.Now().UnixMilli(), listener: placeholder{address: address}}
	stage.store.Put("servers", id, entry.entry("ready", llmSlots))
	return &runnerProcess{entry: entry, process: process}, nil
}

// placeholder is the listener of a runner in another process.
type placeholder struct {
	net.Listener
	address net.Addr
}

// Addr returns the address.
func (placeholder placeholder) Addr() net.Addr { return placeholder.address }

// runCrashes kills model runners whose streams have no length, and looks for streams that
// end as complete before their last event.
func runCrashes(stage *stage, trouble bool) (bool, error) {
	stage.store.Put("op", "config", mustJSON(newConfiguration(1<<40)))
	if err := stage.newRunners(serveUnframed, nil, 0, 0); err != nil {
		return false, err
	}
	processes := make([]*runnerProcess, crashingRunners)
	for number := range processes {
		var err error
		if processes[number], err = stage.startRunnerProcess(fmt.Sprintf("i-%s-process-%d", llm, number)); err != nil {
			return false, err
		}
	}
	router, err := stage.startRouter(1)
	if err != nil {
		return false, err
	}
	for number, killed := range processes {
		if !trouble {
			break
		}
		time.AfterFunc(troubleAfter+time.Duration(number)*crashEvery, func() {
			stage.note("runner %s is killed", killed.entry.id)
			_ = killed.process.Process.Kill() // it may have ended
			time.AfterFunc(silentTime, func() { stage.store.Remove("servers", killed.entry.id) })
		})
	}
	traffic := newTraffic(stage, router.front())
	var short atomic.Int64
	events := make(map[string]int)
	for _, class := range classes() {
		events[class.name] = class.events
	}
	traffic.check = func(class class, id string, answer answer) {
		got := bytes.Count(answer.body, []byte("id: "))
		if answer.status == http.StatusOK && answer.err == nil && got < events[class.name] {
			short.Add(1)
			stage.note("client gets a complete stream of %d of %d events for %s %s", got, events[class.name], class.name, id)
		}
	}
	traffic.run(trafficFor)
	stage.note("answers: %v", traffic.counts)
	stage.note("%d streams ended as complete before their last event", short.Load())
	return short.Load() > 0, nil
}
