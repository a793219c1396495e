package main

// A runner that is killed while it sends answers that have no length and end with their
// channels, as some of the runners do. The end of the channel looks like that of the answer: of a stream between two
// events, of any other body everywhere.

import (
	"bytes"
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gitlab.com/wisterialb/wisterialb/platform/standin"
)

// crashCase is one of the two cases.
type crashCase struct {
	service string
	runners int
	// unframed is how many of the runners answer without a length. The others answer in
	// chunks.
	unframed int
	// paths are those of the requests.
	paths []string
	// isWhole reports whether an answer that looks complete is whole, and size is what
	// it has.
	isWhole func(answer answer) bool
	size    func(answer answer) string
}

var streamCrash = crashCase{
	service: "gasket-llm", runners: 9, unframed: 3, paths: []string{"/chat/ring", "/check/ring"},
	isWhole: func(answer answer) bool { return answer.events == whole },
	size:    func(answer answer) string { return fmt.Sprintf("%d of %d events", answer.events, whole) },
}

var plainCrash = crashCase{
	service: "order-desk", runners: 4, unframed: 1, paths: []string{plainPrefix + "stock/ring", plainPrefix + "book/ring"},
	isWhole: func(answer answer) bool { return answer.bytes == plainBytes },
	size:    func(answer answer) string { return fmt.Sprintf("%d of %d bytes", answer.bytes, plainBytes) },
}

const (
	// crashRate are the requests a second.
	crashRate = 40
	// A runner is killed at crashAt, and started again after crashDownPeriod.
	crashAt         = 6 * time.Second
	crashDownPeriod = 2 * time.Second
	crashDay        = 14 * time.Second
)

const crashConfiguration = `{"version":3,"routes":[
 {"name":"cook-chat","host":"` + host + `","prefix":"/chat/","routeKind":"streaming","timeoutMs":15000,"goalMs":1200,"priority":2,
  "service":"gasket-llm","maxAttempts":2,"sticky":true,"resumable":true,"gapTargetMs":250},
 {"name":"fitting-check","host":"` + host + `","prefix":"/check/","routeKind":"streaming","timeoutMs":8000,"goalMs":1000,"priority":1,
  "service":"gasket-llm","maxAttempts":1,"sticky":true,"gapTargetMs":250},
 {"name":"stock-lookup","host":"` + host + `","prefix":"` + plainPrefix + `stock/","routeKind":"safe","timeoutMs":1500,"goalMs":150,"priority":2,
  "service":"order-desk","maxAttempts":2},
 {"name":"ship-booking","host":"` + host + `","prefix":"` + plainPrefix + `book/","routeKind":"unsafe","timeoutMs":1500,"goalMs":150,"priority":2,
  "service":"order-desk","maxAttempts":1}],
"services":[{"name":"gasket-llm","healthPath":"/healthz","maxConns":370,"engine":{"slots":64,"kvCapacity":357587,"stride":3,"most":12}},
 {"name":"order-desk","healthPath":"/healthz","maxConns":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"` + tenant + `","apiKeys":["` + apiKey + `"],"prepaid":100000000}]}`

// runnerProcess is a runner as a process of its own.
type runnerProcess struct {
	id, service, address string
	unframed             bool
	process              *exec.Cmd
	exited               chan struct{}
	output               *output
}

// output is what a process has printed. It is safe for concurrent use.
type output struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write adds what the process prints.
func (output *output) Write(data []byte) (int, error) {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	return output.buffer.Write(data)
}

// String returns all that was printed.
func (output *output) String() string {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	return output.buffer.String()
}

// running returns the number of requests that the runner works on.
func (runner *runnerProcess) running() int {
	text := runner.output.String()
	return strings.Count(text, "runs") - strings.Count(text, "has ended")
}

func newRunnerProcess(service string, number int) (*runnerProcess, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer listener.Close()
	return &runnerProcess{
		id: fmt.Sprintf("i-%s-%d", service, number), service: service, address: listener.Addr().String(), output: &output{},
	}, nil
}

func (runner *runnerProcess) start() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	process := exec.Command(program, runnerCommand, runner.id, runner.address, strconv.FormatBool(runner.unframed)) //nolint:gosec // this program itself
	process.Stdout, process.Stderr = runner.output, runner.output
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	runner.process, runner.exited = process, exited
	go func() {
		defer close(exited)
		_ = process.Wait() // a signal of the case ends the process
	}()
	return nil
}

func (runner *runnerProcess) kill() {
	if runner.process != nil {
		_ = runner.process.Process.Kill() // an error means that it has ended
		<-runner.exited
	}
}

// entry is what the runner writes to the store.
func (runner *runnerProcess) entry(bornAt time.Time) map[string]any {
	return map[string]any{
		"born": bornAt.UnixMilli(), "service": runner.service, "address": runner.address, "zone": firstZone, "version": "v1",
		"slots": 64, "state": "ready", "coldLeftMs": 0, "seq": 1,
	}
}

// play plays the case.
func (crashCase crashCase) play(record *record) (broken bool, err error) {
	directory, err := os.MkdirTemp("", "review-crash-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(directory)
	store := standin.NewStore()
	defer store.Close()
	store.Put("op", "config", []byte(crashConfiguration))
	runners, err := crashCase.startRunners(store)
	defer func() {
		for _, runner := range runners {
			runner.kill()
			record.add("the output of %s:\n%s", runner.id, runner.output)
		}
	}()
	if err != nil {
		return false, err
	}
	routers, err := newRouters(directory, store.Address())
	if err != nil {
		return false, err
	}
	defer killAll(routers)
	if err := startAll(routers); err != nil {
		return false, err
	}
	record.note("%d routers are ready", len(routers))
	answers, err := crashCase.send(record, routers, store, runners)
	if err != nil {
		return false, err
	}
	return crashCase.judge(record, answers)
}

func (crashCase crashCase) startRunners(store *standin.Store) ([]*runnerProcess, error) {
	var runners []*runnerProcess
	for number := range crashCase.runners {
		runner, err := newRunnerProcess(crashCase.service, number)
		if err != nil {
			return runners, err
		}
		runner.unframed = number < crashCase.unframed
		runners = append(runners, runner)
		if err := runner.start(); err != nil {
			return runners, err
		}
		store.Put("servers", runner.id, runner.entry(time.Now()))
	}
	return runners, nil
}

// send sends the traffic, and kills a runner unless TROUBLE is 0.
func (crashCase crashCase) send(record *record, routers []*router, store *standin.Store, runners []*runnerProcess) ([]answer, error) {
	consumers := newConsumers(routers, record)
	crashed := make(chan error, 1)
	go func() {
		time.Sleep(crashAt)
		if !hasTrouble() {
			crashed <- nil
			return
		}
		victim := slices.MaxFunc(runners[:crashCase.unframed], func(a, b *runnerProcess) int { return cmp.Compare(a.running(), b.running()) })
		record.note("runner %s works on %d requests", victim.id, victim.running())
		victim.kill()
		record.note("runner %s is killed", victim.id)
		time.Sleep(crashDownPeriod)
		err := victim.start()
		store.Put("servers", victim.id, victim.entry(time.Now()))
		record.note("runner %s is started again", victim.id)
		crashed <- err
	}()
	var mutex sync.Mutex
	var answers []answer
	var sent sync.WaitGroup
	for startedAt := time.Now(); time.Since(startedAt) < crashDay; {
		path := crashCase.paths[rand.IntN(len(crashCase.paths))]
		sent.Go(func() {
			answer := consumers.send(request{id: newID(), path: path, promptTokens: promptTokens, outputTokens: whole * eventTokens, timeLimit: chatTimeLimit})
			mutex.Lock()
			defer mutex.Unlock()
			answers = append(answers, answer)
		})
		time.Sleep(time.Duration(rand.ExpFloat64() / crashRate * float64(time.Second)))
	}
	sent.Wait()
	return answers, <-crashed
}

// judge reports whether an answer ended as complete before its last piece.
func (crashCase crashCase) judge(record *record, answers []answer) (broken bool, err error) {
	succeeded, brokenOff := 0, 0
	var short []string
	for _, answer := range answers {
		switch {
		case answer.status != http.StatusOK:
		case !answer.complete:
			brokenOff++
		default:
			succeeded++
			if !crashCase.isWhole(answer) {
				short = append(short, fmt.Sprintf("%s %s: %s", answer.id, answer.path, crashCase.size(answer)))
			}
		}
	}
	slices.Sort(short)
	record.note("%d requests, %d answers ended as complete, %d of these before their last piece, %d were broken off visibly",
		len(answers), succeeded, len(short), brokenOff)
	for _, line := range short {
		record.note("ended as complete: %s", line)
	}
	if succeeded == 0 {
		return false, fmt.Errorf("%w: no answer was complete", errNotRun)
	}
	return len(short) > 0, nil
}
