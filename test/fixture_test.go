package test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"gitlab.com/wisterialb/wisterialb/pkg/command"
	"gitlab.com/wisterialb/wisterialb/pkg/demo"
	"gitlab.com/wisterialb/wisterialb/pkg/settings"
	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

const (
	// examplesVariable is the script variable that holds the path of docs/examples.
	examplesVariable = "EXAMPLES"

	startTimeout    = 30 * time.Second
	teamLimitTokens = 10_000
)

var zones = []string{"varnamo", "gislaved", "jonkoping"}

// fixture holds the fleet, the listeners and the transcript of one script.
type fixture struct {
	transcript bytes.Buffer
	fleet      *demo.Fleet
	listeners  []net.Listener
}

// commands returns the script commands by name, in addition to those of
// testscript.
func (fixture *fixture) commands() map[string]func(*testscript.TestScript, bool, []string) {
	return map[string]func(*testscript.TestScript, bool, []string){
		"fleet":      fixture.startFleet,
		"platform":   fixture.setPlatformFaults,
		"silence":    fixture.listenBlackhole,
		"wisterialb": fixture.runCommand,
		"call":       fixture.call,
		"runs":       fixture.printRuns,
		"metrics":    fixture.printMetrics,
	}
}

func (fixture *fixture) close() {
	for _, listener := range fixture.listeners {
		_ = listener.Close()
	}
	if fixture.fleet != nil {
		_ = fixture.fleet.Close(context.Background())
	}
}

// startFleet starts a fleet of N routers, two engines and a service. It publishes
// the demonstration's configuration documents unless a second argument is given:
// fleet N [bare].
func (fixture *fixture) startFleet(script *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	script.Check(err)
	fixture.fleet, err = demo.StartFleet(demo.FleetConfig{
		Zones:    zones[:count],
		Services: 1,
		Engines: []standin.EngineConfig{
			{Name: "engine-1", TokenInterval: time.Millisecond, Seed: 1},
			{Name: "engine-2", TokenInterval: time.Millisecond, Seed: 2},
		},
		Adjust: func(_ int, settings settings.Settings) settings.Settings {
			settings.PollInterval = 100 * time.Millisecond
			settings.PublishTimeout = startTimeout
			return settings
		},
	})
	script.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	script.Check(fixture.fleet.WaitLive(ctx))
	if len(args) == 1 {
		script.Check(fixture.fleet.Publish(ctx, teamLimitTokens))
	}
	script.Setenv("WISTERIALB_ADDRESS", fixture.fleet.Routers[0].Settings.OperatorAddress)
	script.Setenv("WISTERIALB_OPERATOR_TOKEN", demo.OperatorToken)
}

// listenBlackhole opens a listener that accepts connections but never responds,
// and stores its address in a script variable: silence VARIABLE.
func (fixture *fixture) listenBlackhole(script *testscript.TestScript, _ bool, args []string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	script.Check(err)
	fixture.listeners = append(fixture.listeners, listener)
	script.Setenv(args[0], listener.Addr().String())
}

// setPlatformFaults sets the injected faults of the platform; {} clears them:
// platform JSON.
func (fixture *fixture) setPlatformFaults(script *testscript.TestScript, _ bool, args []string) {
	var faults standin.PlatformFaults
	script.Check(json.Unmarshal([]byte(args[0]), &faults))
	script.Check(fixture.fleet.Platform.SetFaults(faults))
}

// runCommand runs a wisterialb command and records its output and exit code:
// wisterialb ARGS...
func (fixture *fixture) runCommand(script *testscript.TestScript, _ bool, args []string) {
	var out, errOut bytes.Buffer
	code := command.Run(command.Environment{
		Context: context.Background(),
		Out:     &out,
		ErrOut:  &errOut,
		Getenv:  script.Getenv,
	}, args)
	fixture.addToTranscript(script, "wisterialb", args, out.String()+errOut.String()+fmt.Sprintf("exit %d\n", code))
}

// parseCallOptions parses key=value arguments over the defaults of a call.
func parseCallOptions(args []string) map[string]string {
	options := map[string]string{
		"router":  "0",
		"token":   demo.CallerToken,
		"profile": demo.ProfileName,
	}
	for _, arg := range args {
		key, value, _ := strings.Cut(arg, "=")
		options[key] = value
	}
	return options
}

// call sends a request to a router and prints the status, the outcome and, unless
// the status is 200, the response body: call METHOD PATH [router=N] [token=T]
// [profile=P] [key=K] [body=TEXT] [bytes=N]. With bytes, the request body is N
// bytes of filler.
func (fixture *fixture) call(script *testscript.TestScript, _ bool, args []string) {
	options := parseCallOptions(args[2:])
	body := options["body"]
	if options["bytes"] != "" {
		count, err := strconv.Atoi(options["bytes"])
		script.Check(err)
		body = strings.Repeat("x", count)
	}
	index, err := strconv.Atoi(options["router"])
	script.Check(err)
	address := fixture.fleet.Routers[index].CallerAddress()
	request, err := http.NewRequest(args[0], "http://"+address+args[1], strings.NewReader(body))
	script.Check(err)
	request.Header.Set("Authorization", "Bearer "+options["token"])
	request.Header.Set("Wisterialb-Profile", options["profile"])
	if options["key"] != "" {
		request.Header.Set("Idempotency-Key", options["key"])
	}
	response, err := http.DefaultClient.Do(request)
	script.Check(err)
	content, err := io.ReadAll(response.Body)
	script.Check(errors.Join(err, response.Body.Close()))
	output := fmt.Sprintf("status %d, outcome %s\n", response.StatusCode, response.Header.Get("Wisterialb-Outcome"))
	if response.StatusCode != http.StatusOK {
		output += strings.TrimSpace(string(content)) + "\n"
	}
	fixture.addToTranscript(script, "call", args, output)
}

// printRuns prints the number of requests that ran on all engines and on all
// services; with an argument, also the number on each engine: runs [each].
func (fixture *fixture) printRuns(script *testscript.TestScript, _ bool, args []string) {
	var out strings.Builder
	engineRuns, serviceRuns := 0, 0
	for _, engine := range fixture.fleet.Engines {
		engineRuns += len(engine.Runs())
		if len(args) > 0 {
			fmt.Fprintf(&out, "%s %d\n", engine.Name(), len(engine.Runs()))
		}
	}
	for _, service := range fixture.fleet.Services {
		serviceRuns += len(service.Runs().Runs)
	}
	fmt.Fprintf(&out, "engines %d, services %d\n", engineRuns, serviceRuns)
	fixture.addToTranscript(script, "runs", args, out.String())
}

// printMetrics prints the lines of the first router's metrics that match the
// expression: metrics REGEXP.
func (fixture *fixture) printMetrics(script *testscript.TestScript, _ bool, args []string) {
	pattern, err := regexp.Compile(args[0])
	script.Check(err)
	response, err := http.Get("http://" + fixture.fleet.Routers[0].Settings.OperatorAddress + "/metrics")
	script.Check(err)
	content, err := io.ReadAll(response.Body)
	script.Check(errors.Join(err, response.Body.Close()))
	var out strings.Builder
	for line := range strings.Lines(string(content)) {
		if pattern.MatchString(line) {
			out.WriteString(line)
		}
	}
	fixture.addToTranscript(script, "metrics", args, out.String())
}

// addToTranscript appends a command and its masked output to the transcript.
func (fixture *fixture) addToTranscript(script *testscript.TestScript, name string, args []string, output string) {
	commandText := name
	for _, arg := range args {
		if arg == "" || strings.Contains(arg, " ") {
			arg = "'" + arg + "'"
		}
		commandText += " " + arg
	}
	output = "$ " + commandText + "\n" + output + "\n"
	output = strings.ReplaceAll(output, script.Getenv(examplesVariable), "<examples>")
	for _, outputMask := range outputMasks {
		output = outputMask.pattern.ReplaceAllString(output, outputMask.replacement)
	}
	fixture.transcript.WriteString(output)
	_, err := io.WriteString(script.Stdout(), output)
	script.Check(err)
}

// outputMask replaces text that differs between runs, or that depends on a
// configured interval, with a placeholder.
type outputMask struct {
	pattern     *regexp.Regexp
	replacement string
}

var outputMasks = []outputMask{
	{regexp.MustCompile(`[0-9A-HJKMNP-TV-Z]{26}`), "<ulid>"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z`), "<time>"},
	{regexp.MustCompile(`[0-9a-f]{16}-[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`), "<attempt>"},
	{regexp.MustCompile(`retry in \S+ when`), "retry in <duration> when"},
	{regexp.MustCompile(`127\.0\.0\.\d+:\d+`), "<address>"},
	{regexp.MustCompile(`[ \t]+\n`), "\n"},
}
