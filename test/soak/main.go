// Command soak runs the fault-injection soak test for a range of seeds and prints
// the findings. It keeps the settings and logs of seeds with findings.
package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"gitlab.com/wisterialb/wisterialb/pkg/command"
	"gitlab.com/wisterialb/wisterialb/platform/soak"
)

type commandLine struct {
	First     uint64        `help:"First seed; 0 uses the current Unix time." default:"1"`
	Seeds     int           `help:"Number of seeds." default:"10"`
	Jobs      int           `help:"Number of seeds that run at the same time." default:"3"`
	Routers   int           `help:"Number of routers in each fleet." default:"3"`
	Upstreams int           `help:"Number of upstreams in each fleet." default:"4"`
	Callers   int           `help:"Number of callers in each fleet." default:"6"`
	Leaving   int           `help:"Maximum number of callers that leave at the same time." default:"300"`
	Duration  time.Duration `help:"Time for which disturbances are injected." default:"8s"`
	Logs      string        `help:"Directory for logs." default:"target/soak"`
}

func main() {
	if os.Getenv(soak.ProgramVariable) != "" {
		os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	var commandLine commandLine
	kongContext := kong.Parse(&commandLine, kong.Description("Run the fault-injection soak test for a range of seeds."))
	seedsWithFindings, err := commandLine.run()
	kongContext.FatalIfErrorf(err)
	if seedsWithFindings > 0 {
		kongContext.Exit(1)
	}
}

// run runs the seeds and returns the number of seeds with findings.
func (commandLine commandLine) run() (int, error) {
	if commandLine.First == 0 {
		commandLine.First = uint64(time.Now().Unix())
	}
	var mutex sync.Mutex
	var waitGroup sync.WaitGroup
	seedsWithFindings, disturbances := 0, make(map[string]int)
	var firstErr error
	semaphore := make(chan struct{}, max(commandLine.Jobs, 1))
	for offset := range commandLine.Seeds {
		seed := commandLine.First + uint64(offset)
		semaphore <- struct{}{}
		waitGroup.Go(func() {
			defer func() { <-semaphore }()
			report, err := commandLine.runSeed(seed)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				firstErr = err
				return
			}
			if len(report.Findings) > 0 {
				seedsWithFindings++
			}
			for name, count := range report.Disturbances {
				disturbances[name] += count
			}
			fmt.Fprintln(os.Stdout, describe(report))
		})
	}
	waitGroup.Wait()
	names := slices.Sorted(maps.Keys(disturbances))
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, disturbances[name])
	}
	fmt.Fprintf(os.Stdout, "%d of %d seeds with findings; disturbances: %s\n", seedsWithFindings, commandLine.Seeds, strings.Join(names, ", "))
	return seedsWithFindings, firstErr
}

func (commandLine commandLine) runSeed(seed uint64) (soak.Report, error) {
	if err := os.MkdirAll(commandLine.Logs, 0o700); err != nil {
		return soak.Report{}, err
	}
	directory, err := os.MkdirTemp(commandLine.Logs, fmt.Sprintf("%d-", seed)) // unique, as soak commands may share Logs
	if err != nil {
		return soak.Report{}, err
	}
	report, err := soak.Run(soak.Config{
		Seed: seed, Routers: commandLine.Routers, Upstreams: commandLine.Upstreams, Callers: commandLine.Callers,
		Leaving: commandLine.Leaving, Duration: commandLine.Duration, Directory: directory,
	})
	if err != nil || len(report.Findings) > 0 {
		return report, err
	}
	return report, os.RemoveAll(directory)
}

func describe(report soak.Report) string {
	text := fmt.Sprintf("seed %d: %d requests, %d served, %d refused, %d on new connections, %d left", report.Seed, report.Requests, report.Served,
		report.Refused, report.Connecting, report.Left)
	for _, finding := range report.Findings {
		text += "\n  " + finding.String()
	}
	return text
}
