package quarantine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

// The parts of the simulated prompts. The deadly one comes with a part that travels
// with it; both kinds of request start with the same common parts.
var (
	deadlyPart    = partID(1)
	travelingPart = partID(2)
	firstPart     = partID(commonPart)
)

const (
	// commonPart and subjectPart are the first of their kind.
	commonPart   = 100
	commonParts  = 4
	subjectPart  = 1000
	subjectParts = 300
)

// partID returns an ID of the length that the hash of a part has in a report.
func partID(number uint64) uint64 { return number * 0x9e3779b97f4a7c15 }

const (
	// learningTime is the users' bound: later than this after the fifth crash, at most
	// maxLateRequests with the deadly part may reach engines.
	learningTime    = 3 * time.Second
	boundedCrashes  = 5
	maxLateRequests = 3
)

// scenario describes the traffic and the faults of a simulated fleet.
type scenario struct {
	routers, engines  int
	requestsPerSecond float64
	// deadlyShare is the share of requests with the deadly part between deadlyFrom
	// and the end.
	deadlyShare float64
	deadlyFrom  time.Duration
	// travels is set when the traveling part also comes with sound requests.
	travels bool
	// ownCrashes is how many engines crash by themselves, at random times, and
	// massCrash is set when half of them do so at the same moment.
	ownCrashes int
	massCrash  bool
	// sameNames is set when an engine that starts again keeps its name.
	sameNames bool
	// restarts is how many routers restart, at random times, without their memory.
	restarts int
	// clockError is by how much the clocks of routers differ at most.
	clockError time.Duration
	// sameStart is set when all prompts begin with the same part.
	sameStart bool
	// unreported is the share of deadly requests whose router doesn't report them as
	// suspects of the crash that they cause.
	unreported float64
}

// engineState is a simulated engine and the requests that it runs.
type engineState struct {
	process   int
	downUntil time.Duration
	running   []*simulatedRequest
}

type simulatedRequest struct {
	router   int
	parts    []uint64
	beginsAt time.Duration
	endsAt   time.Duration
}

// simulation runs routers with a Register each that exchange reports.
type simulation struct {
	scenario  scenario
	random    *rand.Rand
	now       time.Duration
	registers []*Register
	// texts are the published reports as JSON; changed is set for a router whose report
	// may have changed, unread for one whose published report has.
	texts           []string
	changed, unread []bool
	publishedAt     []time.Duration
	engines         []*engineState
	// crashes counts the crashes by the deadly part; fifthCrashAt is when the fifth of
	// them was.
	crashes      int
	fifthCrashAt time.Duration
	// lateRequests counts the deadly requests sent after the learning time.
	lateRequests int
	// refusedSound and sound count the sound requests, and those that were refused.
	refusedSound, sound int
	// reportBytes counts the bytes of reports that each router has read.
	reportBytes int
}

const (
	testSeeds = 8
	// simulationStart is the time of the routers' clocks at the start.
	simulationStart = 20000 * 24 * time.Hour
	simulationStep  = 10 * time.Millisecond
	simulationEnd   = 40 * time.Second
	// A router publishes its report at most once in publishGap, and all read the changes
	// once in readGap.
	publishGap    = 250 * time.Millisecond
	readGap       = 200 * time.Millisecond
	exchangeDelay = 50 * time.Millisecond
	engineDown    = 3 * time.Second
)

func (simulation *simulation) newRegister(router int) *Register {
	clockError := simulation.scenario.clockError * time.Duration(router%3) / 2
	return NewRegister(Config{
		Now: func() time.Duration { return simulationStart + simulation.now + clockError }, Logger: log.NewNopLogger(),
		OnChange: func() { simulation.changed[router] = true },
	})
}

func runFleet(seed uint64, scenario scenario) *simulation {
	simulation := &simulation{
		scenario: scenario, random: rand.New(rand.NewPCG(seed, 7)), texts: make([]string, scenario.routers),
		changed: make([]bool, scenario.routers), unread: make([]bool, scenario.routers), publishedAt: make([]time.Duration, scenario.routers),
		registers: make([]*Register, scenario.routers),
	}
	for router := range simulation.registers {
		simulation.registers[router] = simulation.newRegister(router)
	}
	for range scenario.engines {
		simulation.engines = append(simulation.engines, &engineState{})
	}
	events := make(map[time.Duration][]func())
	at := func() time.Duration {
		return time.Duration(simulation.random.Int64N(int64(simulationEnd/simulationStep))) * simulationStep
	}
	for range scenario.ownCrashes {
		moment := at()
		events[moment] = append(events[moment], func() { simulation.crash(simulation.random.IntN(scenario.engines)) })
	}
	if scenario.massCrash {
		moment := at()
		events[moment] = append(events[moment], func() {
			for engine := range scenario.engines / 2 {
				simulation.crash(engine)
			}
		})
	}
	for range scenario.restarts {
		moment := at()
		events[moment] = append(events[moment], func() { simulation.restart(simulation.random.IntN(scenario.routers)) })
	}
	for ; simulation.now < simulationEnd; simulation.now += simulationStep {
		for _, event := range events[simulation.now] {
			event()
		}
		simulation.step()
	}
	return simulation
}

func (simulation *simulation) step() {
	for engine := range simulation.engines {
		simulation.runEngine(engine)
	}
	for range simulation.arrivals() {
		simulation.sendRequest()
	}
	if simulation.now%exchangeDelay == 0 {
		simulation.exchange(simulation.now%time.Second == 0)
	}
}

// arrivals draws the number of requests of one step.
func (simulation *simulation) arrivals() int {
	mean := simulation.scenario.requestsPerSecond * simulationStep.Seconds()
	count := int(mean)
	if simulation.random.Float64() < mean-float64(count) {
		count++
	}
	return count
}

func (simulation *simulation) sendRequest() {
	random, scenario := simulation.random, simulation.scenario
	parts := []uint64{partID(commonPart + random.Uint64N(commonParts)), partID(subjectPart + random.Uint64N(subjectParts)), random.Uint64()}
	if scenario.sameStart {
		parts[0] = firstPart
	}
	deadly := simulation.now >= scenario.deadlyFrom && random.Float64() < scenario.deadlyShare
	switch {
	case deadly:
		parts = []uint64{firstPart, travelingPart, deadlyPart, random.Uint64()}
	case scenario.travels && random.Float64() < 0.02:
		parts = []uint64{firstPart, travelingPart, random.Uint64()}
	}
	simulation.send(random.IntN(scenario.routers), parts, deadly)
}

func (simulation *simulation) send(router int, parts []uint64, deadly bool) {
	if !deadly {
		simulation.sound++
	}
	if simulation.registers[router].Blocks(parts) {
		if !deadly {
			simulation.refusedSound++
		}
		return
	}
	first := simulation.random.IntN(len(simulation.engines))
	for i := range simulation.engines {
		engine := simulation.engines[(first+i)%len(simulation.engines)]
		if simulation.now < engine.downUntil {
			continue
		}
		if deadly && simulation.fifthCrashAt > 0 && simulation.now > simulation.fifthCrashAt+learningTime {
			simulation.lateRequests++
		}
		beginsAt := simulation.now + time.Duration(50+simulation.random.IntN(400))*time.Millisecond
		engine.running = append(engine.running, &simulatedRequest{
			router: router, parts: parts, beginsAt: beginsAt, endsAt: beginsAt + time.Duration(200+simulation.random.IntN(800))*time.Millisecond,
		})
		return
	}
}

// runEngine ends the requests that are complete, and crashes the engine when it
// begins to answer one with the deadly part.
func (simulation *simulation) runEngine(number int) {
	engine := simulation.engines[number]
	for _, request := range engine.running {
		if request.beginsAt <= simulation.now && slices.Contains(request.parts, deadlyPart) {
			simulation.crashes++
			if simulation.crashes == boundedCrashes {
				simulation.fifthCrashAt = simulation.now
			}
			simulation.crash(number)
			return
		}
	}
	engine.running = slices.DeleteFunc(engine.running, func(request *simulatedRequest) bool {
		if request.endsAt > simulation.now {
			return false
		}
		simulation.registers[request.router].Succeeded(request.parts)
		return true
	})
}

func (simulation *simulation) crash(number int) {
	engine := simulation.engines[number]
	if simulation.now < engine.downUntil {
		return
	}
	process := fmt.Sprintf("upstream-%04d/%013d", number, engine.process)
	if !simulation.scenario.sameNames {
		engine.process++
	}
	engine.downUntil = simulation.now + engineDown
	running := engine.running
	engine.running = nil
	for _, request := range running {
		if simulation.now-request.beginsAt > 100*time.Millisecond {
			continue // has made progress
		}
		isDeadly := slices.Contains(request.parts, deadlyPart)
		if isDeadly && simulation.scenario.unreported > 0 && simulation.random.Float64() < simulation.scenario.unreported {
			continue
		}
		register := simulation.registers[request.router]
		register.Crashed(process, request.parts, request.beginsAt <= simulation.now)
		if register.MayRetry(request.parts) {
			simulation.send(request.router, request.parts, isDeadly)
		}
	}
}

// exchange publishes the reports that have changed, or all, and lets the routers
// read them.
func (simulation *simulation) exchange(all bool) {
	for router, register := range simulation.registers {
		if simulation.now-simulation.publishedAt[router] < publishGap || !all && !simulation.changed[router] {
			continue
		}
		simulation.changed[router], simulation.publishedAt[router] = false, simulation.now
		content, err := json.Marshal(register.Report())
		if err != nil {
			panic(err)
		}
		if text := string(content); text != simulation.texts[router] {
			simulation.texts[router] = text
			simulation.unread[router] = true
		}
	}
	if simulation.now%readGap == 0 {
		simulation.readReports()
	}
}

// readReports lets all routers read the reports that have changed.
func (simulation *simulation) readReports() {
	for writer, unread := range simulation.unread {
		if unread {
			simulation.reportBytes += len(simulation.texts[writer])
		}
	}
	for reader := range simulation.registers {
		simulation.registers[reader].Merge(simulation.reports(func(writer int) bool { return writer != reader && simulation.unread[writer] }))
	}
	clear(simulation.unread)
}

// reports decodes the published reports of the selected routers.
func (simulation *simulation) reports(selected func(writer int) bool) map[string]Report {
	reports := make(map[string]Report)
	for writer, text := range simulation.texts {
		if text == "" || !selected(writer) {
			continue
		}
		var report Report
		if err := json.Unmarshal([]byte(text), &report); err != nil {
			panic(err)
		}
		reports[fmt.Sprint(writer)] = report
	}
	return reports
}

// restart replaces the register of a router by an empty one that reads all rows,
// its predecessor's included.
func (simulation *simulation) restart(router int) {
	simulation.registers[router] = simulation.newRegister(router)
	simulation.registers[router].Merge(simulation.reports(func(int) bool { return true }))
}

// TestDeadlyPartIsQuarantined guards against prompts with one deadly part that crash
// engine after engine, at any router, and against refusing sound requests that share
// other parts with them.
func TestDeadlyPartIsQuarantined(t *testing.T) {
	t.Parallel()
	for name, scenario := range map[string]scenario{
		"rare":                {routers: 9, engines: 9, requestsPerSecond: 25, deadlyShare: 0.02, deadlyFrom: 4 * time.Second},
		"usual":               {routers: 9, engines: 9, requestsPerSecond: 25, deadlyShare: 0.05, deadlyFrom: 4 * time.Second, travels: true},
		"frequent":            {routers: 9, engines: 9, requestsPerSecond: 25, deadlyShare: 0.4, deadlyFrom: 2 * time.Second, travels: true},
		"from the start":      {routers: 9, engines: 9, requestsPerSecond: 25, deadlyShare: 0.2, travels: true},
		"large fleet":         {routers: 30, engines: 60, requestsPerSecond: 150, deadlyShare: 0.05, deadlyFrom: 4 * time.Second, travels: true},
		"engines crash too":   {routers: 9, engines: 30, requestsPerSecond: 60, deadlyShare: 0.05, deadlyFrom: 4 * time.Second, ownCrashes: 30, massCrash: true, travels: true},
		"few that keep names": {routers: 3, engines: 2, requestsPerSecond: 10, deadlyShare: 0.1, deadlyFrom: 4 * time.Second, sameNames: true},
		"clocks differ":       {routers: 9, engines: 9, requestsPerSecond: 25, deadlyShare: 0.1, deadlyFrom: 4 * time.Second, travels: true, clockError: 200 * time.Millisecond},
		"routers restart":     {routers: 9, engines: 9, requestsPerSecond: 25, deadlyShare: 0.1, deadlyFrom: 4 * time.Second, restarts: 25, travels: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(testSeeds) {
				simulation := runFleet(seed, scenario)
				require.GreaterOrEqual(t, simulation.crashes, minCrashes, "seed %d: the fault did not occur", seed)
				require.LessOrEqual(t, simulation.lateRequests, maxLateRequests, "seed %d: %d crashes", seed, simulation.crashes)
				require.LessOrEqual(t, simulation.refusedSound, simulation.sound/100, "seed %d", seed)
			}
		})
	}
}

// TestSoundPromptsAreServedAfterRestarts guards against sound requests that are
// refused because routers that have restarted know no success, and what some of them
// had seen is lost: then the part that all prompts begin with looks like the cause.
func TestSoundPromptsAreServedAfterRestarts(t *testing.T) {
	t.Parallel()
	const seeds = 20
	for name, scenario := range map[string]scenario{
		"restarts":            {routers: 3, engines: 2, requestsPerSecond: 10, deadlyShare: 0.4, sameStart: true, sameNames: true, restarts: 12, ownCrashes: 4},
		"unreported culprits": {routers: 3, engines: 2, requestsPerSecond: 10, deadlyShare: 0.2, sameStart: true, sameNames: true, restarts: 6, unreported: 0.1},
		"more of them":        {routers: 3, engines: 2, requestsPerSecond: 10, deadlyShare: 0.2, sameStart: true, sameNames: true, restarts: 6, unreported: 0.3},
		"larger fleet":        {routers: 9, engines: 9, requestsPerSecond: 25, deadlyShare: 0.1, sameStart: true, travels: true, restarts: 25, ownCrashes: 10},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			refused, sound := 0, 0
			for seed := range uint64(seeds) {
				simulation := runFleet(seed, scenario)
				refused += simulation.refusedSound
				sound += simulation.sound
			}
			t.Logf("%d of %d sound requests were refused", refused, sound)
			require.LessOrEqual(t, refused, sound/100)
		})
	}
}

// TestCrashesOfEnginesBlockNothing guards against sound requests that are refused
// because their engines crashed by themselves.
func TestCrashesOfEnginesBlockNothing(t *testing.T) {
	t.Parallel()
	for _, clockError := range []time.Duration{0, 200 * time.Millisecond} {
		for seed := range uint64(4 * testSeeds) {
			simulation := runFleet(seed, scenario{routers: 9, engines: 9, requestsPerSecond: 25, ownCrashes: 60, massCrash: true, clockError: clockError})
			require.Zero(t, simulation.refusedSound, "seed %d of %d, clock error %s", seed, simulation.sound, clockError)
		}
	}
}

// TestReportsOfCrashesStaySmall guards against reports that fill the links of small
// routers when many engines crash, as every router reads those of all others.
func TestReportsOfCrashesStaySmall(t *testing.T) {
	t.Parallel()
	simulation := runFleet(1, scenario{routers: 90, engines: 90, requestsPerSecond: 400, ownCrashes: 20, massCrash: true})
	const maxBytesPerSecond = 9 << 10 // what a router may use for control
	t.Logf("%d bytes read by each router", simulation.reportBytes)
	require.Positive(t, simulation.reportBytes)
	require.Less(t, simulation.reportBytes, maxBytesPerSecond*int(simulationEnd/time.Second))
}
