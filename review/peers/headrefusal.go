package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// askers is the number of clients that look up orders on a kept connection each, one
	// request every askPause.
	askers   = 8
	askPause = 100 * time.Millisecond
	// strayTime is how long a client waits for bytes that no request asked for.
	strayTime = 20 * time.Millisecond
	graceTime = 8 * time.Second
	// trafficOn is how long other clients use the router after SIGTERM: their addresses last
	// so long.
	trafficOn = 3 * time.Second
)

// runHeadRefusals stops a router while clients look up orders with HEAD and GET in turn,
// and looks for bytes that belong to no request.
func runHeadRefusals(stage *stage, trouble bool) (bool, error) {
	stage.store.Put("op", "config", mustJSON(newConfiguration(1<<40)))
	serve := func(runner *runner, connection net.Conn, request *http.Request, body []byte) bool {
		if request.Method == http.MethodHead {
			time.Sleep(30 * time.Millisecond)
			_, err := fmt.Fprint(connection, runner.head("200 OK", request, "Content-Length: 800"))
			return err == nil
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
	if _, err := stage.startRouter(2); err != nil { // the others go on
		return false, err
	}
	stopped := time.After(graceTime)
	if trouble {
		time.AfterFunc(troubleAfter, func() {
			stage.note("router %d gets SIGTERM", router.number)
			_ = router.process.Process.Signal(syscall.SIGTERM) // it may have ended
		})
		stopped = time.After(troubleAfter + graceTime)
	}
	var stray atomic.Int64
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for number := range askers {
		clients.Go(func() { stage.ask(router.front(), number, stop, &stray) })
	}
	traffic := newTraffic(stage, router.front())
	clients.Go(func() { traffic.run(troubleAfter + trafficOn) }) // its streams keep the router running
	<-stopped
	close(stop)
	clients.Wait()
	stage.note("%d answers to HEAD were followed by bytes that no request asked for", stray.Load())
	return stray.Load() > 0, nil
}

// ask looks up orders on one connection until the router closes it or stop is closed.
func (stage *stage) ask(address string, number int, stop chan struct{}, stray *atomic.Int64) {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for count := 0; ; count++ {
		select {
		case <-stop:
			return
		case <-time.After(askPause):
		}
		lookUp := classes()[4]
		lookUp.method = []string{http.MethodHead, http.MethodGet}[count%2]
		request := lookUp.request(uint64(1<<32 + number<<16 + count))
		_ = connection.SetDeadline(time.Now().Add(lookUp.deadline))
		if _, err := fmt.Fprint(connection, request.text()); err != nil {
			return
		}
		response, err := http.ReadResponse(reader, &http.Request{Method: lookUp.method})
		if err != nil {
			stage.note("asker %d: no answer to %s: %v", number, lookUp.method, err)
			return
		}
		_ = response.Body.Close() // reads the rest
		stage.note("asker %d: %s %s", number, lookUp.method, response.Status)
		_ = connection.SetReadDeadline(time.Now().Add(strayTime))
		if _, err := reader.Peek(1); err == nil {
			bytes, _ := reader.Peek(reader.Buffered())
			stray.Add(1)
			stage.note("asker %d: %d bytes that no request asked for: %q", number, len(bytes), bytes)
			return
		} else if !errors.Is(err, os.ErrDeadlineExceeded) {
			return // the router has closed the connection
		}
	}
}
