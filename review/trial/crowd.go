package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimitMB and descriptorLimit are those of the machines of the small site with
	// the least memory. Of the descriptors, ownDescriptors are kept for files.
	memoryLimitMB   = 134
	descriptorLimit = 4100
	ownDescriptors  = 200
	// crowdAhead is how many requests are sent on each channel without waiting for answers.
	crowdAhead = 2
	// crowdConnections, crowdFields and crowdBody are the channels of the crowd at a machine,
	// and the header fields and the bytes of its requests.
	crowdConnections, crowdFields, crowdBody = 1750, 56, 1000
	crowdRounds                              = 6
	restartDelay                             = 500 * time.Millisecond
	crowdRest                                = 4 * time.Second
	maxLost                                  = 3
	maxOwnEnds                               = 3
	soundConsumers                           = 24
)

const crowdConfig = `{"version":1,"routes":[
 {"name":"chat","host":"shop.example","prefix":"/chat/","routeKind":"streaming","timeoutMs":15000,"goalMs":1200,"priority":2,"service":"llm","maxAttempts":2,"sticky":true,"resumable":true,"gapTargetMs":300},
 {"name":"read","host":"shop.example","prefix":"/read/","routeKind":"safe","timeoutMs":2500,"goalMs":150,"priority":2,"service":"app","maxAttempts":2}],
"services":[{"name":"llm","healthPath":"/healthz","maxConns":370,"engine":{"slots":64,"kvCapacity":286885,"stride":4,"most":12}},{"name":"app","healthPath":"/healthz","maxConns":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"cooks","apiKeys":["key-of-cooks"],"prepaid":1000000000}]}`

// crowdPlay is one play of the case.
type crowdPlay struct {
	trial *trial
	mutex sync.Mutex
	// lost counts the requests of sound consumers that had been passed on to a runner when
	// their kept channel ended without a whole answer, by machine, and ends counts the
	// processes that the platform ended for their memory.
	lost, ends map[string]int
	served     int
	loops      sync.WaitGroup
	stopped    chan struct{}
}

// playCrowd lets a crowd of consumers send one request each and leave the answers unread,
// beside sound ones on kept channels.
func playCrowd(trial *trial) (bool, error) {
	trial.memoryMB = memoryLimitMB
	trial.store.Put("op", "config", []byte(crowdConfig))
	for number := range 9 {
		if _, err := trial.addEngine(fmt.Sprintf("i-llm-%d", number+1), "llm", 300*time.Millisecond, 50*time.Millisecond, 70); err != nil {
			return false, err
		}
	}
	for number := range 3 {
		if _, err := trial.addEngine(fmt.Sprintf("i-app-%d", number+1), "app", 200*time.Millisecond, 0, 0); err != nil {
			return false, err
		}
	}
	if err := trial.startRouters(2); err != nil {
		return false, err
	}
	play := &crowdPlay{trial: trial, lost: make(map[string]int), ends: make(map[string]int), stopped: make(chan struct{})}
	for _, router := range trial.routers {
		play.loops.Go(func() { play.limitMemory(router) })
		for number := range soundConsumers {
			play.loops.Go(func() { play.consume(router, number) })
		}
	}
	time.Sleep(stable + time.Second)
	for round := range crowdRounds {
		if trial.trouble {
			play.crowd(round, trial.routers[round%len(trial.routers)])
		}
		time.Sleep(crowdRest)
	}
	close(play.stopped)
	play.loops.Wait()
	return play.judge(), nil
}

func (play *crowdPlay) judge() bool {
	total, often := 0, 0
	for _, router := range play.trial.routers {
		total += play.lost[router.name]
		if play.ends[router.name] >= maxOwnEnds {
			often++
		}
		play.trial.note("%s: %d processes ended over %d MB; %d requests of sound consumers lost", router.name, play.ends[router.name], memoryLimitMB, play.lost[router.name])
	}
	play.trial.note("%d requests of sound consumers were served, %d were lost after they had been passed on; allowed are %d", play.served, total, maxLost)
	play.trial.note("%d machines whose processes ended by themselves %d times", often, maxOwnEnds)
	return total > maxLost
}

// limitMemory ends a process that exceeds the memory of its machine, and starts it again,
// as the platform does.
func (play *crowdPlay) limitMemory(router *router) {
	for {
		select {
		case <-play.stopped:
			return
		case <-time.After(5 * time.Millisecond):
		}
		memory := router.memoryKB("VmRSS")
		if memory <= memoryLimitMB<<10 {
			continue
		}
		play.trial.note("%s has %d kB of memory and %d descriptors, and is ended", router.name, memory, router.descriptors())
		<-router.signal(syscall.SIGKILL)
		play.mutex.Lock()
		play.ends[router.name]++
		play.mutex.Unlock()
		time.Sleep(restartDelay)
		if err := router.start(); err != nil {
			play.trial.note("%s can't be started: %v", router.name, err)
			return
		}
	}
}

// crowd opens the channels, sends a request on each and closes them after a while.
func (play *crowdPlay) crowd(round int, router *router) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	var mutex sync.Mutex
	var open []net.Conn
	var senders sync.WaitGroup
	dialer := &net.Dialer{Timeout: time.Second}
	for number := range crowdConnections {
		senders.Go(func() {
			conn, err := dialer.DialContext(ctx, "tcp", router.front())
			if err != nil {
				return
			}
			for ahead := range crowdAhead {
				id := fmt.Sprintf("%s%02x%02x%08x", router.name[len(router.name)-1:], round, ahead, number)
				_, _ = fmt.Fprint(conn, crowdRequest(id)) // the router may have ended
			}
			mutex.Lock()
			defer mutex.Unlock()
			open = append(open, conn)
		})
		if number%20 == 0 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	senders.Wait()
	play.trial.note("round %d: %d channels of the crowd at %s, which has %d kB and %d descriptors", round+1, len(open), router.name, router.memoryKB("VmRSS"), router.descriptors())
	time.Sleep(3 * time.Second)
	for _, conn := range open {
		_ = conn.Close()
	}
}

// crowdRequest returns an ordinary request within the limits.
func crowdRequest(id string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "POST /chat/%[1]s HTTP/1.1\r\nHost: %[2]s\r\nAuthorization: Bearer %[3]s\r\nWisterialb-Attempt-Id: %[1]s\r\nWisterialb-Deadline-Ms: 15000\r\nWisterialb-Model: m\r\nWisterialb-Token-Usage: 715,280\r\nWisterialb-Prompt-Prefix: aa:172,%[1]s:543\r\nContent-Length: %[4]d\r\n", id, host, key, crowdBody)
	for number := range crowdFields {
		fmt.Fprintf(&text, "X-Field-%d: %d\r\n", number, number)
	}
	text.WriteString("\r\n" + strings.Repeat("b", crowdBody))
	return text.String()
}

// consume sends requests one after the other on a kept channel.
func (play *crowdPlay) consume(router *router, number int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 16 * time.Second}
	defer client.CloseIdleConnections()
	for sent := 0; ; sent++ {
		select {
		case <-play.stopped:
			return
		default:
		}
		id := fmt.Sprintf("5%s%04x%08x", router.name[len(router.name)-1:], number, sent)
		path, usage := "/read/"+id, ""
		if number%3 == 0 {
			path, usage = "/chat/"+id, "715,280"
		}
		whole, status, err := exchange(client, router, id, path, usage)
		ran := play.hasRun(id)
		play.trial.note("%s at %s answered with status %d, whole %t, run %t, %v", id, router.name, status, whole, ran, err)
		play.mutex.Lock()
		switch {
		case whole && status == http.StatusOK:
			play.served++
		case !whole && ran:
			play.lost[router.name]++
		}
		play.mutex.Unlock()
		if !whole || status != http.StatusOK {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

func (play *crowdPlay) hasRun(id string) bool {
	for _, engine := range play.trial.engines {
		if engine.hasRun(id) {
			return true
		}
	}
	return false
}

// exchange sends a request on the client's kept channel. It reports whether the answer was
// whole.
func exchange(client *http.Client, router *router, id, path, usage string) (whole bool, status int, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+router.front()+path, strings.NewReader("body of "+id))
	if err != nil {
		return false, 0, err
	}
	request.Host, request.GetBody = host, nil
	request.Header.Set("Wisterialb-Attempt-Id", id)
	request.Header.Set("Wisterialb-Deadline-Ms", "2500")
	request.Header.Set("Authorization", "Bearer "+key)
	if usage != "" {
		request.Header.Set("Wisterialb-Deadline-Ms", "15000")
		request.Header.Set("Wisterialb-Model", "m")
		request.Header.Set("Wisterialb-Token-Usage", usage)
		request.Header.Set("Wisterialb-Prompt-Prefix", "aa:172,"+id+":543")
	}
	response, err := client.Do(request)
	if err != nil {
		return false, 0, err
	}
	defer response.Body.Close()
	_, err = bufio.NewReader(response.Body).WriteTo(new(discard))
	return err == nil, response.StatusCode, err
}

// discard drops what is written to it.
type discard struct{}

func (*discard) Write(data []byte) (int, error) { return len(data), nil }

// memoryKB returns a field of the status of the router's process; zero if it has ended.
func (router *router) memoryKB(field string) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", router.pid())) //nolint:gosec // a process that the trial started
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			value := 0
			_, _ = fmt.Sscan(rest, &value) // zero if there is none
			return value
		}
	}
	return 0
}

// descriptors returns how many descriptors the router's process has.
func (router *router) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", router.pid()))
	if err != nil {
		return 0
	}
	return len(entries)
}

func (router *router) pid() int {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return router.process.Process.Pid
}
