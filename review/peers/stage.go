package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gitlab.com/wisterialb/wisterialb/platform/standin"
)

// Ports of a router on its loopback address; the metrics port is that of the deploy file.
const (
	frontPort     = 7001
	readyPort     = 7002
	directoryPort = 7003
	program       = "target/wisterialb"
	// root is the root of the repository, as seen from the folder of a case.
	root       = "../.."
	recordName = "record.txt"
	// maxDescriptors are those of the sheet without the ones that are reserved for files.
	maxDescriptors = 3900
	startTimeout   = 20 * time.Second
)

const settingsTemplate = `nodeName=edge-%[1]d
role=router
machineClass=edge
serves=edge,registry
ip=%[2]s
zone=sapporo-a
region=hokkaido
zones.sapporo-a=hokkaido
listen.front=%[2]s:7001
listen.ready=%[2]s:7002
listen.directory=%[2]s:7003
firstStart=true
lossCounts=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=134
limits.maxFds=4100
limits.linkMbps=1000.0
discovery=platform
entry=registry
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
bounds.stableMs=3000
bounds.drainMs=2000
bounds.graceS=8
bounds.configApplyMs=2000
bounds.retryRatio=0.2
bounds.retryWindowS=10
bounds.retrySlack=58
bounds.ttl_max_s=5
platform.address=%[3]s
platform.form=table
platform.rowBytes=65536
platform.across=true
`

// stage holds all that a case starts.
type stage struct {
	directory string
	store     *standin.Store
	routers   []*router
	runners   []*runner

	mutex  sync.Mutex
	record *os.File
	began  time.Time
}

// newStage starts a store and creates the record in the working folder.
func newStage() (*stage, error) {
	directory, err := os.MkdirTemp("", "review-case")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordName)
	if err != nil {
		return nil, err
	}
	return &stage{directory: directory, store: standin.NewStore(), record: record, began: time.Now()}, nil
}

// note writes a line to the record.
func (stage *stage) note(format string, values ...any) {
	stage.mutex.Lock()
	defer stage.mutex.Unlock()
	fmt.Fprintf(stage.record, "%8.3f "+format+"\n", append([]any{time.Since(stage.began).Seconds()}, values...)...)
}

// close ends all processes and removes the temporary folder.
func (stage *stage) close() {
	for _, router := range stage.routers {
		router.kill()
	}
	for _, runner := range stage.runners {
		runner.stop()
	}
	stage.store.Close()
	_ = os.RemoveAll(stage.directory)
	_ = stage.record.Close()
}

// router is a machine of the system. Its process may be started again.
type router struct {
	stage    *stage
	number   int
	host     string
	settings string
	process  *exec.Cmd
	exited   chan struct{}
	starts   int
}

func (stage *stage) newRouter(number int, storeAddress string) (*router, error) {
	router := &router{
		stage: stage, number: number, settings: filepath.Join(stage.directory, fmt.Sprintf("settings-%d", number)),
		host: fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()/250%250, 1+os.Getpid()%250, 1+number),
	}
	content := fmt.Sprintf(settingsTemplate, number, router.host, storeAddress)
	if err := os.WriteFile(router.settings, []byte(content), 0o600); err != nil {
		return nil, err
	}
	stage.routers = append(stage.routers, router)
	return router, nil
}

// startRouter starts a router beside the store and waits until it is ready.
func (stage *stage) startRouter(number int) (*router, error) {
	router, err := stage.newRouter(number, stage.store.Address())
	if err != nil {
		return nil, err
	}
	if err := router.start(); err != nil {
		return nil, err
	}
	return router, router.waitReady()
}

// startRouters starts routers beside the store and returns their addresses once they are
// ready.
func (stage *stage) startRouters(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for number := range count {
		router, err := stage.newRouter(number+1, stage.store.Address())
		if err != nil {
			return nil, err
		}
		if err := router.start(); err != nil {
			return nil, err
		}
		addresses = append(addresses, router.front())
	}
	for _, router := range stage.routers {
		if err := router.waitReady(); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}

// start starts the process with the command of the deploy file.
func (router *router) start() error {
	router.starts++
	output, err := os.Create(filepath.Join(router.stage.directory, fmt.Sprintf("log-%d-%d", router.number, router.starts)))
	if err != nil {
		return err
	}
	process := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s edge", maxDescriptors, program)) //nolint:gosec // constants
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WISTERIALB_SETTINGS=" + router.settings}
	process.Dir = root // where the platform starts it, too
	process.Stdout, process.Stderr = output, output
	if err := process.Start(); err != nil {
		return err
	}
	router.stage.note("router %d started, process %d", router.number, process.Process.Pid)
	exited := make(chan struct{})
	router.process, router.exited = process, exited
	go func() {
		_ = process.Wait() // the status is in the process state
		_ = output.Close()
		router.stage.note("router %d ended: %s", router.number, process.ProcessState)
		close(exited)
	}()
	return nil
}

// kill ends the process and waits for its end.
func (router *router) kill() {
	if router.process != nil {
		_ = router.process.Process.Kill() // it may have ended
		<-router.exited
	}
}

func (router *router) front() string { return net.JoinHostPort(router.host, strconv.Itoa(frontPort)) }

// waitReady waits until the router says that it is ready.
func (router *router) waitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", router.host, readyPort))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the router is not ready")
}

// memoryKB returns a field of the process's status, such as VmHWM.
func (router *router) memoryKB(field string) int {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", router.process.Process.Pid))
	for line := range strings.Lines(string(content)) {
		if value, ok := strings.CutPrefix(line, field+":"); ok {
			number, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return number
		}
	}
	return 0
}

// serveRequest answers a request of a connection and reports whether the connection goes
// on.
type serveRequest func(runner *runner, connection net.Conn, request *http.Request, body []byte) bool

// runner is a server of a service, on a raw listener.
type runner struct {
	id, service string
	born        int64
	listener    net.Listener
	serve       serveRequest
	connections sync.Map
	slots       int
	// running counts the requests that the runner has.
	running atomic.Int64
}

// newRunner starts a runner and registers it in the store.
func (stage *stage) newRunner(id, service string, slots int, serve serveRequest) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	runner := &runner{id: id, service: service, born: time.Now().UnixMilli(), listener: listener, slots: slots, serve: serve}
	stage.runners = append(stage.runners, runner)
	stage.store.Put("servers", id, runner.entry("ready", slots))
	go serveAll(runner)
	return nil
}

// serveAll serves all connections of a runner until its listener is closed.
func serveAll(runner *runner) {
	for {
		connection, err := runner.listener.Accept()
		if err != nil {
			return
		}
		runner.connections.Store(connection, true)
		go runner.run(connection)
	}
}

func (runner *runner) run(connection net.Conn) {
	defer runner.connections.Delete(connection)
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if expected := request.Header.Get("Wisterialb-Expect-Instance"); expected != "" && expected != runner.id {
			fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\nWisterialb-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", runner.id)
			continue
		}
		runner.running.Add(1)
		goesOn := runner.serve(runner, connection, request, body)
		runner.running.Add(-1)
		if !goesOn {
			return
		}
	}
}

func (runner *runner) address() string { return runner.listener.Addr().String() }

func (runner *runner) entry(state string, slots int) map[string]any {
	return map[string]any{
		"service": runner.service, "address": runner.address(), "zone": "sapporo-a", "version": "v1", "slots": slots, "state": state,
		"coldLeftMs": 0, "seq": 1, "born": runner.born,
	}
}

// stop closes the listener and all connections.
func (runner *runner) stop() {
	_ = runner.listener.Close()
	runner.connections.Range(func(connection, _ any) bool {
		if open, ok := connection.(net.Conn); ok {
			_ = open.Close()
		}
		return true
	})
}

// load returns the header that states the running and the waiting requests, and the slots.
func (runner *runner) load() string {
	running := int(runner.running.Load())
	return fmt.Sprintf("Wisterialb-Server-Load: %d,%d,%d\r\n", min(running, runner.slots), max(running-runner.slots, 0), runner.slots)
}

// head returns the head of an answer to the request with the given extra lines.
func (runner *runner) head(status string, request *http.Request, lines ...string) string {
	head := "HTTP/1.1 " + status + "\r\nWisterialb-Attempt-Id: " + request.Header.Get("Wisterialb-Attempt-Id") +
		"\r\nWisterialb-Server-Seal: seal-of-" + runner.id + "\r\n" + runner.load()
	if len(lines) > 0 {
		head += strings.Join(lines, "\r\n") + "\r\n"
	}
	return head + "\r\n"
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// clientRequest is a request of a client.
type clientRequest struct {
	method, target string
	headers        [][2]string
	body           string
	timeout        time.Duration
}

func (clientRequest clientRequest) text() string {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: shop.example\r\n", clientRequest.method, clientRequest.target)
	for _, header := range clientRequest.headers {
		fmt.Fprintf(&text, "%s: %s\r\n", header[0], header[1])
	}
	if clientRequest.body != "" || clientRequest.method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(clientRequest.body))
	}
	text.WriteString("\r\n" + clientRequest.body)
	return text.String()
}

// send sends the request on a new connection and reads the answer.
func (clientRequest clientRequest) send(address string) answer {
	startedAt := time.Now()
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer connection.Close()
	_ = connection.SetDeadline(startedAt.Add(clientRequest.timeout))
	if _, err := io.WriteString(connection, clientRequest.text()); err != nil {
		return answer{err: err, took: time.Since(startedAt)}
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: clientRequest.method})
	if err != nil {
		return answer{err: err, took: time.Since(startedAt)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: body, err: err, took: time.Since(startedAt)}
}

func mustJSON(value any) []byte {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return content
}
