package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Numbers and slots of runners are those of the sheet.
	llmRunners, deskRunners = 9, 3
	llmSlots, deskSlots     = 64, 6
	// troubleAfter is when a disruption begins, and trafficFor how long clients send.
	troubleAfter, trafficFor = 3 * time.Second, 12 * time.Second
)

// class is a kind of request of the sheet of kitahama-lb.
type class struct {
	name, method, target string
	perSecond            float64
	bodyBytes            int
	events               int
	usage, prompt        string
	deadline             time.Duration
}

// classes returns the kinds of requests with the rates and mean sizes of the sheet.
func classes() []class {
	return []class{
		{
			name: "quote-draft", method: http.MethodPost, target: llmPath + "2f", perSecond: 23.6, bodyBytes: 18000, events: 13,
			usage: "9190,52", prompt: "5c1e07a2:2520,91bd3f06:3780,%08x:2890", deadline: 6 * time.Second,
		},
		{
			name: "material-list", method: http.MethodPost, target: "/pufi791/2f", perSecond: 26.9, bodyBytes: 4700, events: 6,
			usage: "2368,24", prompt: "5c1e07a3:341,91bd3f07:227,%08x:1800", deadline: 4 * time.Second,
		},
		{
			name: "customer-chat", method: http.MethodPost, target: "/xegu116/2f", perSecond: 17.9, bodyBytes: 1400, events: 70,
			usage: "715,280", prompt: "5c1e07a4:103,91bd3f08:69,%08x:543", deadline: 15 * time.Second,
		},
		{name: "deposit-post", method: http.MethodPost, target: "/puxa403/2f", perSecond: 17.1, bodyBytes: 600, deadline: 2500 * time.Millisecond},
		{name: "order-read", method: http.MethodGet, target: "/cufi504/2f", perSecond: 8, deadline: 2500 * time.Millisecond},
	}
}

// request returns a request of the class with the ID.
func (class class) request(id uint64) clientRequest {
	request := clientRequest{
		method: class.method, target: class.target, timeout: class.deadline, body: strings.Repeat("b", class.bodyBytes),
		headers: [][2]string{
			{"Wisterialb-Attempt-Id", fmt.Sprintf("%016x", id)},
			{"Wisterialb-Deadline-Ms", fmt.Sprint(class.deadline.Milliseconds())},
			{"Authorization", "Bearer " + key},
		},
	}
	if class.usage != "" {
		request.headers = append(request.headers, [][2]string{
			{"Wisterialb-Model", "m"}, {"Wisterialb-Token-Usage", class.usage}, {"Wisterialb-Prompt-Prefix", fmt.Sprintf(class.prompt, id)},
		}...)
	}
	return request
}

// traffic sends the requests of all classes at their rates.
type traffic struct {
	stage *stage
	// addresses are those of the routers, of which each request uses one at random.
	addresses []string
	nextID    atomic.Uint64
	sending   sync.WaitGroup
	// check receives each answer with the ID of its request.
	check func(id string, answer answer)

	mutex  sync.Mutex
	counts map[string]int
}

func newTraffic(stage *stage, addresses ...string) *traffic {
	return &traffic{
		stage: stage, addresses: addresses, counts: make(map[string]int), check: func(string, answer) {},
	}
}

// run sends for the duration and waits for the answers.
func (traffic *traffic) run(duration time.Duration) {
	end := time.Now().Add(duration)
	var loops sync.WaitGroup
	for _, class := range classes() {
		loops.Go(func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / class.perSecond))
			defer ticker.Stop()
			for now := range ticker.C {
				if now.After(end) {
					return
				}
				traffic.sending.Go(func() { traffic.send(class) })
			}
		})
	}
	loops.Wait()
	traffic.sending.Wait()
}

func (traffic *traffic) send(class class) {
	id := traffic.nextID.Add(1)
	answer := class.request(id).send(traffic.addresses[rand.IntN(len(traffic.addresses))])
	result := fmt.Sprintf("%d", answer.status)
	if answer.err != nil {
		result = "no complete answer"
	}
	traffic.check(fmt.Sprintf("%016x", id), answer)
	traffic.mutex.Lock()
	traffic.counts[class.name+" "+result]++
	traffic.mutex.Unlock()
	traffic.stage.note("client %s %016x: %s after %d ms", class.name, id, result, answer.took.Milliseconds())
}

// serveSound answers as a sound runner does: a stream with the events of the class, or a
// body.
func serveSound(runner *runner, connection net.Conn, request *http.Request, _ []byte) bool {
	class, ok := classOf(request)
	if !ok {
		return false
	}
	if class.events > 0 {
		return serveStream(runner, connection, request, class.events)
	}
	time.Sleep(30 * time.Millisecond)
	_, err := fmt.Fprintf(connection, "%s%s", runner.head("200 OK", request, "Content-Length: 800"), strings.Repeat("a", 800))
	return err == nil
}

// classOf returns the class of a request by its path.
func classOf(request *http.Request) (class, bool) {
	for _, class := range classes() {
		if strings.HasPrefix(request.URL.Path, class.target) {
			return class, true
		}
	}
	return class{}, false
}

func serveStream(runner *runner, connection net.Conn, request *http.Request, events int) bool {
	time.Sleep(80 * time.Millisecond)
	first := 0
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &first) // none begins with the first
	head := runner.head("200 OK", request, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
	if _, err := fmt.Fprint(connection, head); err != nil {
		return false
	}
	for event := first + 1; event <= events; event++ {
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", event, strings.Repeat("t", 40))
		if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	_, err := fmt.Fprint(connection, "0\r\n\r\n")
	return err == nil
}

// newRunners starts the runners of the sheet. The first ones of each service, of the given
// numbers, serve in the second way.
func (stage *stage) newRunners(serve, serveFirst serveRequest, firstLLM, firstDesk int) error {
	for _, pool := range []struct {
		name                string
		count, first, slots int
	}{{llm, llmRunners, firstLLM, llmSlots}, {desk, deskRunners, firstDesk, deskSlots}} {
		for number := range pool.count {
			serveRequest := serve
			if number < pool.first {
				serveRequest = serveFirst
			}
			if err := stage.newRunner(fmt.Sprintf("i-%s-%d", pool.name, number), pool.name, pool.slots, serveRequest); err != nil {
				return err
			}
		}
	}
	return nil
}
