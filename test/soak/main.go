// Command soak plays seeds of the fault soak and prints what they showed. The
// settings and logs of seeds with a finding are kept.
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
	First     uint64        `help:"First seed; 0 takes the time." default:"1"`
	Seeds     int           `help:"Number of seeds." default:"10"`
	Jobs      int           `help:"Seeds at one time." default:"3"`
	Routers   int           `help:"Routers of one fleet." default:"3"`
	Upstreams int           `help:"Upstreams of one fleet." default:"4"`
	Callers   int           `help:"Callers of one fleet." default:"6"`
	Duration  time.Duration `help:"How long troubles come." default:"8s"`
	Logs      string        `help:"Directory for logs." default:"target/soak"`
}

func main() {
	if os.Getenv(soak.ProgramVariable) != "" {
		os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	var line commandLine
	context := kong.Parse(&line, kong.Description("Play seeds of the fault soak."))
	failed, err := line.play()
	context.FatalIfErrorf(err)
	if failed > 0 {
		context.Exit(1)
	}
}

// play plays the seeds and returns how many had a finding.
func (line commandLine) play() (int, error) {
	if line.First == 0 {
		line.First = uint64(time.Now().Unix())
	}
	var mutex sync.Mutex
	var running sync.WaitGroup
	failed, troubles := 0, make(map[string]int)
	var firstErr error
	places := make(chan struct{}, max(line.Jobs, 1))
	for number := range line.Seeds {
		seed := line.First + uint64(number)
		places <- struct{}{}
		running.Go(func() {
			defer func() { <-places }()
			report, err := line.one(seed)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				firstErr = err
				return
			}
			if len(report.Findings) > 0 {
				failed++
			}
			for name, count := range report.Troubles {
				troubles[name] += count
			}
			fmt.Fprintln(os.Stdout, describe(report))
		})
	}
	running.Wait()
	names := slices.Sorted(maps.Keys(troubles))
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, troubles[name])
	}
	fmt.Fprintf(os.Stdout, "%d of %d seeds with a finding; troubles: %s\n", failed, line.Seeds, strings.Join(names, ", "))
	return failed, firstErr
}

func (line commandLine) one(seed uint64) (soak.Report, error) {
	if err := os.MkdirAll(line.Logs, 0o700); err != nil {
		return soak.Report{}, err
	}
	directory, err := os.MkdirTemp(line.Logs, fmt.Sprintf("%d-", seed)) // its own, whatever else runs
	if err != nil {
		return soak.Report{}, err
	}
	report, err := soak.Run(soak.Config{
		Seed: seed, Routers: line.Routers, Upstreams: line.Upstreams, Callers: line.Callers, Duration: line.Duration, Directory: directory,
	})
	if err != nil || len(report.Findings) > 0 {
		return report, err
	}
	return report, os.RemoveAll(directory)
}

func describe(report soak.Report) string {
	text := fmt.Sprintf("seed %d: %d requests, %d served, %d refused", report.Seed, report.Requests, report.Served, report.Refused)
	for _, finding := range report.Findings {
		text += "\n  " + finding.String()
	}
	return text
}
