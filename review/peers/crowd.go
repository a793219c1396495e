package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// crowdClients is the number of connections of the crowd. With as many to runners, the
	// router stays within its descriptors.
	crowdClients = 1920
	// crowdAhead is how many requests a client sends without reading an answer, and
	// crowdStay how long it stays.
	crowdAhead = 2
	crowdStay  = 4 * time.Second
	// crowdsFor is about how long all crowds take.
	crowdsFor = 44 * time.Second
	// crowdFields are header fields of a request besides the usual ones, and crowdParts
	// the parts of its prompt. Its header has 3 KB of the 16 KB allowed.
	crowdFields, crowdParts = 58, 400
	// engineQueue is how many requests a runner queues, and eventPause the time between two
	// events of a full runner.
	engineQueue = 192
	eventPause  = 100 * time.Millisecond
	crowdEvents = 70
)

// crowdRequest returns the text of what a client of the crowd sends.
func crowdRequest(number int) string {
	request := classes()[2].request(uint64(1<<32 + number))
	var prompt strings.Builder
	for part := range crowdParts {
		fmt.Fprintf(&prompt, "%x:5,", part+1)
	}
	fmt.Fprintf(&prompt, "%08x:5", number+1<<20)
	for index := range request.headers {
		if request.headers[index][0] == "Wisterialb-Prompt-Prefix" {
			request.headers[index][1] = prompt.String()
		}
	}
	for field := range crowdFields {
		request.headers = append(request.headers, [2]string{fmt.Sprintf("X-F%d", field), "v"})
	}
	request.body = "hello"
	return strings.Repeat(request.text(), crowdAhead)
}

// needDescriptors is how many descriptors the clients and the runners of a crowd need here.
const needDescriptors = 3*crowdClients + 500

// runCrowd lets many clients send requests ahead and read no answer.
func runCrowd(stage *stage, trouble bool) (bool, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < needDescriptors {
		return false, fmt.Errorf("the case needs %d descriptors", needDescriptors)
	}
	stage.store.Put("op", "config", mustJSON(newConfiguration(1<<50)))
	var running sync.Map
	serve := func(runner *runner, connection net.Conn, request *http.Request, body []byte) bool {
		if !strings.HasPrefix(request.RequestURI, classes()[2].target) {
			return serveSound(runner, connection, request, body)
		}
		count, _ := running.LoadOrStore(runner.id, &atomic.Int64{})
		return serveFull(runner, connection, request, count.(*atomic.Int64)) //nolint:forcetypeassert // only these are stored
	}
	if err := stage.newRunners(serve, nil, 0, 0); err != nil {
		return false, err
	}
	addresses, err := stage.startRouters(minMachines)
	if err != nil {
		return false, err
	}
	memory := stage.enforceMemory()
	var crowds sync.WaitGroup
	if trouble {
		crowds.Go(stage.runCrowds)
	}
	traffic := newTraffic(stage, addresses...)
	traffic.run(crowdsFor)
	crowds.Wait()
	broken := memory.end()
	stage.note("answers: %v", traffic.counts)
	return broken, nil
}

// runCrowds sends a crowd to each router in turn, minEnds times. Each waits until the
// router has been ready for a while.
func (stage *stage) runCrowds() {
	for range minEnds {
		for _, router := range stage.routers {
			time.Sleep(troubleAfter)
			if err := router.waitReady(); err != nil {
				stage.note("router %d: %v", router.number, err)
			}
			stage.runClients(router.front())
		}
	}
}

func (stage *stage) runClients(address string) {
	var clients sync.WaitGroup
	var sent atomic.Int64
	for number := range crowdClients {
		clients.Go(func() {
			connection, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				return
			}
			defer connection.Close()
			if _, err := io.WriteString(connection, crowdRequest(number)); err == nil {
				sent.Add(1)
			}
			time.Sleep(crowdStay)
		})
	}
	clients.Wait()
	stage.note("%d clients sent %d requests each and read nothing", sent.Load(), crowdAhead)
}

// serveFull answers as a model runner does that runs and queues as many requests as it
// may: a slow stream, or a refusal.
func serveFull(runner *runner, connection net.Conn, request *http.Request, running *atomic.Int64) bool {
	defer running.Add(-1)
	if running.Add(1) > llmSlots+engineQueue {
		_, err := fmt.Fprintf(connection, "HTTP/1.1 503 Service Unavailable\r\nWisterialb-Attempt-Id: %s\r\n%sWisterialb-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
			request.Header.Get("Wisterialb-Attempt-Id"), runner.load())
		return err == nil
	}
	head := runner.head("200 OK", request, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
	if _, err := fmt.Fprint(connection, head); err != nil {
		return false
	}
	for event := 1; event <= crowdEvents; event++ {
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", event, strings.Repeat("t", 250))
		if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		time.Sleep(eventPause)
	}
	_, err := fmt.Fprint(connection, "0\r\n\r\n")
	return err == nil
}
