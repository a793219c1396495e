package main

// A runner that is killed while it sends answers that have no length and end with their
// channels. Between two events, the end of the channel looks like that of the answer.

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
	"strings"
	"sync"
	"syscall"
	"time"

	"gitlab.com/wisterialb/wisterialb/platform/standin"
)

const (
	crashRunnerCount = 9
	// crashRate are the requests a second.
	crashRate = 20
	// A runner is killed at crashAt, and started again after crashDownPeriod.
	crashAt         = 6 * time.Second
	crashDownPeriod = 4500 * time.Millisecond
	crashDay        = 14 * time.Second
)

const crashConfiguration = `{"version":3,"routes":[
 {"name":"cook-chat","host":"` + host + `","prefix":"/chat/","routeKind":"streaming","timeoutMs":15000,"goalMs":1200,"priority":2,
  "service":"gasket-llm","maxAttempts":2,"sticky":true,"resumable":true,"gapTargetMs":250},
 {"name":"fitting-check","host":"` + host + `","prefix":"/check/","routeKind":"streaming","timeoutMs":8000,"goalMs":1000,"priority":1,
  "service":"gasket-llm","maxAttempts":1,"sticky":true,"gapTargetMs":250}],
"services":[{"name":"gasket-llm","healthPath":"/healthz","maxConns":370,"engine":{"slots":64,"kvCapacity":357587,"stride":3,"most":12}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"` + tenant + `","apiKeys":["` + apiKey + `"],"prepaid":100000000}]}`

// runnerProcess is a runner as a process of its own.
type runnerProcess struct {
	id, address string
	process     *exec.Cmd
	exited      chan struct{}
	output      *output
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

func newRunnerProcess(number int) (*runnerProcess, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer listener.Close()
	return &runnerProcess{id: fmt.Sprintf("i-llm-%d", number), address: listener.Addr().String(), output: &output{}}, nil
}

func (runner *runnerProcess) start() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	process := exec.Command(program, runnerCommand, runner.id, runner.address) //nolint:gosec // this program itself
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
		"born": bornAt.UnixMilli(), "service": "gasket-llm", "address": runner.address, "zone": firstZone, "version": "v1",
		"slots": 64, "state": "ready", "coldLeftMs": 0, "seq": 1, "stage": "unified",
	}
}

func playCrash(record *record) (broken bool, err error) {
	directory, err := os.MkdirTemp("", "review-crash-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(directory)
	store := standin.NewStore()
	defer store.Close()
	store.Put("op", "config", []byte(crashConfiguration))
	runners, err := startRunners(store)
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
	answers, err := sendDuringCrash(record, routers, store, runners)
	if err != nil {
		return false, err
	}
	return judgeCrash(record, answers)
}

func startRunners(store *standin.Store) ([]*runnerProcess, error) {
	var runners []*runnerProcess
	for number := range crashRunnerCount {
		runner, err := newRunnerProcess(number)
		if err != nil {
			return runners, err
		}
		runners = append(runners, runner)
		if err := runner.start(); err != nil {
			return runners, err
		}
		store.Put("servers", runner.id, runner.entry(time.Now()))
	}
	return runners, nil
}

// sendDuringCrash sends the traffic, and kills the runner unless TROUBLE is 0.
func sendDuringCrash(record *record, routers []*router, store *standin.Store, runners []*runnerProcess) ([]answer, error) {
	consumers := newConsumers(routers, record)
	crashed := make(chan error, 1)
	go func() {
		time.Sleep(crashAt)
		if !hasTrouble() {
			crashed <- nil
			return
		}
		victim := slices.MaxFunc(runners, func(a, b *runnerProcess) int { return cmp.Compare(a.running(), b.running()) })
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
	paths := []string{"/chat/ring", "/check/ring"}
	for startedAt := time.Now(); time.Since(startedAt) < crashDay; {
		path := paths[rand.IntN(len(paths))]
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

// judgeCrash reports whether a stream ended as complete before its last piece.
func judgeCrash(record *record, answers []answer) (broken bool, err error) {
	succeeded, brokenOff := 0, 0
	var short []string
	for _, answer := range answers {
		switch {
		case answer.status != http.StatusOK:
		case !answer.complete:
			brokenOff++
		default:
			succeeded++
			if answer.events != whole {
				short = append(short, fmt.Sprintf("%s %s: %d of %d events", answer.id, answer.path, answer.events, whole))
			}
		}
	}
	slices.Sort(short)
	record.note("%d requests, %d streams ended as complete, %d of these before their last piece, %d were broken off visibly",
		len(answers), succeeded, len(short), brokenOff)
	for _, stream := range short {
		record.note("ended as complete: %s", stream)
	}
	if succeeded == 0 {
		return false, fmt.Errorf("%w: no stream was complete", errNotRun)
	}
	return len(short) > 0, nil
}
