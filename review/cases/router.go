package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// routerProgram is built and started as the deploy file says.
	routerProgram = "target/wisterialb"
	routerRole    = "edge"
	// startTimeout bounds the start of a process.
	startTimeout = 20 * time.Second
)

// settingsTemplate has the settings that the users' pages show, with the bounds of the
// site lindqvist-tatning.
const settingsTemplate = `nodeName=%[1]s
role=router
machineClass=edge
serves=edge,registry
ip=%[2]s
zone=%[3]s
region=smaland
zones.varnamo=smaland
zones.gislaved=smaland
zones.jonkoping=smaland
listen.front=%[2]s:%[4]d
listen.ready=%[2]s:%[5]d
listen.directory=%[2]s:%[6]d
internalPorts=7340,7355
firstStart=true
lossCounts=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
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
platform.address=%[7]s
platform.form=table
platform.writesPerS=800
platform.readsPerS=2000
platform.txMs=3.0
platform.partWritesPerS=300
platform.rowBytes=65536
platform.across=true
platform.historyS=20
platform.blobBytes=8388608
platform.blobMs=25.0
platform.blobMbPerS=80.0
`

// zones are the zones of the site and, as there, three, three and two machines.
var zones = []string{firstZone, firstZone, firstZone, "gislaved", "gislaved", "gislaved", "jonkoping", "jonkoping"}

const firstZone = "varnamo"

// ports are the ports of all routers.
type ports struct{ front, ready, directory int }

// router is one machine of the system and its current process.
type router struct {
	name, ip, zone string
	ports          ports
	directory      string
	process        *exec.Cmd
	exited         chan struct{}
	starts         int
}

// newRouters returns routers without processes, one for each of the zones, with an IP
// number each.
func newRouters(directory, storeAddress string) ([]*router, error) {
	prefix := fmt.Sprintf("127.%d.%d", 1+os.Getpid()%250, 1+time.Now().Nanosecond()%250)
	ports, err := freePorts(prefix + ".1")
	if err != nil {
		return nil, err
	}
	routers := make([]*router, 0, len(zones))
	for number, zone := range zones {
		router := &router{
			name: fmt.Sprintf("edge-%s-%d", zone, number+1), ip: fmt.Sprintf("%s.%d", prefix, number+1), zone: zone, ports: ports,
			directory: directory,
		}
		content := fmt.Sprintf(settingsTemplate, router.name, router.ip, zone, ports.front, ports.ready, ports.directory, storeAddress)
		if err := os.WriteFile(router.path("settings"), []byte(content), 0o600); err != nil {
			return nil, err
		}
		routers = append(routers, router)
	}
	return routers, nil
}

// freePorts returns three ports that are free at the IP number.
func freePorts(ip string) (ports, error) {
	var free [3]int
	for i := range free {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return ports{}, err
		}
		defer listener.Close() // until then the others get other ports
		address, ok := listener.Addr().(*net.TCPAddr)
		if !ok {
			return ports{}, errNotRun
		}
		free[i] = address.Port
	}
	return ports{front: free[0], ready: free[1], directory: free[2]}, nil
}

func (router *router) path(suffix string) string {
	return filepath.Join(router.directory, router.name+"."+suffix)
}

func (router *router) address(port int) string { return fmt.Sprintf("%s:%d", router.ip, port) }

// start starts the router's process with the command of the deploy file.
func (router *router) start() error {
	router.starts++
	output, err := os.Create(router.path(fmt.Sprintf("%d.log", router.starts)))
	if err != nil {
		return err
	}
	process := exec.Command(routerProgram, routerRole)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WISTERIALB_SETTINGS=" + router.path("settings")}
	process.Stdout, process.Stderr = output, output
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	router.process, router.exited = process, exited
	go func() {
		defer close(exited)
		_ = process.Wait() // a signal of the case ends the process
		_ = output.Close()
	}()
	return nil
}

// kill ends the process at once.
func (router *router) kill() {
	if router.process == nil {
		return
	}
	_ = router.process.Process.Kill() // an error means that it has ended
	<-router.exited
}

// isReady asks the router as the platform does.
func (router *router) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + router.address(router.ports.ready) + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts all routers and waits until they are ready.
func startAll(routers []*router) error {
	for _, router := range routers {
		if err := router.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for _, router := range routers {
		for !router.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready: %s", errNotRun, router.name, router.lastLog())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// lastLog returns the end of the log of the current process.
func (router *router) lastLog() string {
	const maxBytes = 500
	content, err := os.ReadFile(router.path(fmt.Sprintf("%d.log", router.starts)))
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(content[max(0, len(content)-maxBytes):]))
}

func killAll(routers []*router) {
	for _, router := range routers {
		if router.process != nil {
			_ = router.process.Process.Kill() // an error means that it has ended
		}
	}
	for _, router := range routers {
		router.kill()
	}
}
