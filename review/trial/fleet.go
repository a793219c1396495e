package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"gitlab.com/wisterialb/wisterialb/platform/standin"
)

const (
	program = "target/wisterialb"
	// heartbeat is the time between two writes of a runner to its entry, as in the settings.
	// An entry is removed after silentHeartbeats of silence.
	heartbeat        = 1200 * time.Millisecond
	silentHeartbeats = 3
	startTimeout     = 20 * time.Second
	readyInterval    = 20 * time.Millisecond
	octets           = 250
	maxDuration      = 115 * time.Second
)

// settingsTemplate has the figures of the Lindqvist sheet.
const settingsTemplate = `nodeName=%[1]s
role=router
machineClass=edge
serves=edge,registry
ip=%[2]s
zone=varnamo
region=smaland
zones.varnamo=smaland
listen.front=%[2]s:8227
listen.ready=%[2]s:8220
listen.control=%[2]s:8229
listen.directory=%[2]s:8224
internalPorts=7340,7355
seeds=
firstStart=true
lossCounts=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=%[4]d
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=registry
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
tolerance.machines=2
tolerance.zones=0
tolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.stableMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.outerMs=5000
bounds.failClosed=false
bounds.revokeMs=5000
bounds.retryRatio=0.2
bounds.retryWindowS=10
bounds.retrySlack=56
bounds.recoverS=12
bounds.passMs=120
bounds.reuseWindowS=9.8
bounds.settle_ms=1500
bounds.ttl_max_s=5
platform.address=%[3]s
platform.form=table
platform.writesPerS=800
platform.readsPerS=2000
platform.txMs=3.0
platform.partWritesPerS=300
platform.rowBytes=65536
platform.across=true
platform.historyS=20
`

// router is one router with its process.
type router struct {
	name, host string
	settings   string
	log        *os.File

	mutex   sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

func (router *router) front() string { return router.host + ":8227" }

func (router *router) start() error {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	process := exec.Command(program, "edge")
	process.Env = append(os.Environ(), "WISTERIALB_SETTINGS="+router.settings)
	process.Stdout, process.Stderr = router.log, router.log
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	router.process, router.exited = process, exited
	go func() {
		_ = process.Wait() // a signal of the trial ends it
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that the trial started.
func (router *router) signal(signal syscall.Signal) <-chan struct{} {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	_ = router.process.Process.Signal(signal) // it may have ended
	return router.exited
}

func (router *router) isReady(client *http.Client) bool {
	response, err := client.Get("http://" + router.host + ":8220/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// runner is a stand-in of a runner with the heartbeats of its entry.
type runner struct {
	*standin.Upstream
	mutex sync.Mutex
	// downUntil is the end of the time after a crash in which it doesn't run.
	crashedAt, downUntil time.Time
	sequence             int
}

// trial is one play of a case.
type trial struct {
	trouble   bool
	startedAt time.Time
	directory string
	store     *standin.Store
	runners   []*runner
	engines   []*engine
	routers   []*router
	closed    chan struct{}
	loops     sync.WaitGroup
	// memoryMB is the memory limit of a router.
	memoryMB int

	mutex  sync.Mutex
	record io.Writer
}

func newTrial(record io.Writer, trouble bool) (*trial, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("build the deploy file first: %w", err)
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	trial := &trial{
		trouble: trouble, startedAt: time.Now(), directory: directory, store: standin.NewStore(), record: record, closed: make(chan struct{}),
		memoryMB: 284,
	}
	trial.note("the disruption is on: %t", trouble)
	go trial.closeOnSignal()
	return trial, nil
}

// note writes a line with the time since the start to the record.
func (trial *trial) note(format string, args ...any) {
	trial.mutex.Lock()
	defer trial.mutex.Unlock()
	_, _ = fmt.Fprintf(trial.record, "%8.3f "+format+"\n", append([]any{time.Since(trial.startedAt).Seconds()}, args...)...)
}

// at returns a time as the record shows it.
func (trial *trial) at(moment time.Time) string {
	return fmt.Sprintf("%.3f", moment.Sub(trial.startedAt).Seconds())
}

// addRunner starts a runner that writes its entry at each heartbeat.
func (trial *trial) addRunner(id, service string, behaviour standin.Behaviour) *runner {
	added := &runner{Upstream: standin.NewUpstream(id, service, behaviour)}
	added.OnCrash(func() { added.recordCrash(behaviour.DownTime) })
	trial.runners = append(trial.runners, added)
	trial.writeEntry(added)
	trial.loops.Go(func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-trial.closed:
				return
			case <-ticker.C:
				trial.writeEntry(added)
			}
		}
	})
	return added
}

func (runner *runner) recordCrash(downTime time.Duration) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.crashedAt = time.Now()
	runner.downUntil = runner.crashedAt.Add(downTime)
}

func (trial *trial) writeEntry(runner *runner) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	now := time.Now()
	if now.Before(runner.downUntil) {
		if now.Sub(runner.crashedAt) > silentHeartbeats*heartbeat {
			trial.store.Remove("servers", runner.ID)
		}
		return
	}
	runner.sequence++
	entry := runner.RegistryEntry("ready")
	entry["seq"] = runner.sequence
	entry["slots"] = 64
	trial.store.Put("servers", runner.ID, entry)
}

// startRouters starts routers and waits until they are ready.
func (trial *trial) startRouters(count int) error {
	for number := range count {
		host, err := freeHost(number + 1)
		if err != nil {
			return err
		}
		added := &router{name: fmt.Sprintf("edge-%d", number+1), host: host}
		added.settings = filepath.Join(trial.directory, added.name+".conf")
		content := fmt.Sprintf(settingsTemplate, added.name, added.host, trial.store.Address(), trial.memoryMB)
		if err := os.WriteFile(added.settings, []byte(content), 0o600); err != nil { //nolint:gosec // in a new temporary folder
			return err
		}
		if added.log, err = os.Create(filepath.Join(trial.directory, added.name+".log")); err != nil { //nolint:gosec // the same
			return err
		}
		if err := added.start(); err != nil {
			return err
		}
		trial.routers = append(trial.routers, added)
	}
	return trial.waitReady()
}

// ports are those of a router: front, ready, control, directory and metrics.
var ports = []string{"8227", "8220", "8229", "8224", "7340"}

// freeHost returns a loopback address on which the ports of a router are free.
func freeHost(number int) (string, error) {
	for second := range octets {
		host := fmt.Sprintf("127.%d.%d.%d", 1+second, 1+os.Getpid()%octets, number)
		if isFree(host) {
			return host, nil
		}
	}
	return "", errors.New("no loopback address has the ports free")
}

func isFree(host string) bool {
	for _, port := range ports {
		listener, err := net.Listen("tcp", host+":"+port)
		if err != nil {
			return false
		}
		_ = listener.Close() // nothing was accepted
	}
	return true
}

func (trial *trial) waitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(startTimeout)
	for _, router := range trial.routers {
		for !router.isReady(client) {
			if time.Now().After(deadline) {
				return errors.New(router.name + " isn't ready in time")
			}
			time.Sleep(readyInterval)
		}
	}
	trial.note("%d routers are ready", len(trial.routers))
	return nil
}

// closeOnSignal ends the trial at a signal and after maxDuration.
func (trial *trial) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-trial.closed:
		return
	case <-signals:
		trial.note("the case couldn't run: stopped by a signal")
	case <-time.After(maxDuration):
		trial.note("the case couldn't run: it took longer than %s", maxDuration)
	}
	for _, router := range trial.routers {
		router.signal(syscall.SIGKILL)
	}
	_ = os.RemoveAll(trial.directory)
	os.Exit(exitNotRun)
}

// close ends all processes that the trial started.
func (trial *trial) close() {
	close(trial.closed)
	for _, engine := range trial.engines {
		engine.close()
	}
	trial.loops.Wait()
	for _, router := range trial.routers {
		<-router.signal(syscall.SIGKILL)
		_ = router.log.Close()
	}
	for _, runner := range trial.runners {
		runner.Close()
	}
	trial.store.Close()
	_ = os.RemoveAll(trial.directory) //nolint:gosec // the trial made it
}
