package testbed

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/standin"
)

// DisturbanceKind names a failure that Disturb causes.
type DisturbanceKind string

// The kinds of disturbances.
const (
	// KillRouter stops a router as a crash does and starts it again.
	KillRouter DisturbanceKind = "kill_router"
	// StallEngine stalls the open connections of an engine.
	StallEngine DisturbanceKind = "silence_engine"
	// StallService stalls the open connections of an upstream of the plain service.
	StallService DisturbanceKind = "silence_service"
	// StallCallers stalls the open connections of all callers.
	StallCallers DisturbanceKind = "silence_callers"
	// StallPlatform stalls the open connections of the platform.
	StallPlatform DisturbanceKind = "silence_platform"
	// LoseWriteResponses loses the responses to some writes to the platform.
	LoseWriteResponses DisturbanceKind = "lose_answers"
	// InjectStreamFaults injects each kind of stream fault into some streams of an
	// engine.
	InjectStreamFaults DisturbanceKind = "break_streams"
	// RepeatRefusals lets an engine answer some completions that it runs with an earlier
	// refusal.
	RepeatRefusals DisturbanceKind = "repeat_refusals"
	// DropBookingConnections closes the connections of some bookings after they
	// ran, without a response.
	DropBookingConnections DisturbanceKind = "drop_bookings"
)

// The number of calls that one disturbance affects.
const (
	lostResponses             = 5
	streamsPerFault           = 2
	repeatedRefusals          = 5
	droppedBookingConnections = 2
)

// disturbanceFuncs has the function that causes each kind of disturbance.
var disturbanceFuncs = map[DisturbanceKind]func(testbed *Testbed, random *rand.Rand) error{
	KillRouter: func(testbed *Testbed, random *rand.Rand) error {
		index := random.IntN(len(testbed.Fleet.Routers))
		testbed.Fleet.KillRouter(index)
		return testbed.Fleet.StartRouter(index)
	},
	StallEngine: func(testbed *Testbed, random *rand.Rand) error {
		randomElement(random, testbed.Fleet.Engines).BlackholeConnections()
		return nil
	},
	StallService: func(testbed *Testbed, random *rand.Rand) error {
		randomElement(random, testbed.Fleet.Services).BlackholeConnections()
		return nil
	},
	StallCallers: func(testbed *Testbed, _ *rand.Rand) error {
		testbed.callerDialer.BlackholeConnections()
		return nil
	},
	StallPlatform: func(testbed *Testbed, _ *rand.Rand) error {
		testbed.Fleet.Platform.BlackholeConnections()
		return nil
	},
	LoseWriteResponses: func(testbed *Testbed, _ *rand.Rand) error {
		return testbed.Fleet.Platform.SetFaults(standin.PlatformFaults{LoseNextResponses: lostResponses})
	},
	InjectStreamFaults: func(testbed *Testbed, random *rand.Rand) error {
		streams := make(map[standin.StreamFault]standin.FaultFrequency)
		for _, kind := range standin.StreamFaults() {
			streams[kind] = standin.FaultFrequency{NextCount: streamsPerFault}
		}
		return randomElement(random, testbed.Fleet.Engines).SetFaults(standin.EngineFaults{Streams: streams})
	},
	RepeatRefusals: func(testbed *Testbed, random *rand.Rand) error {
		return randomElement(random, testbed.Fleet.Engines).SetFaults(standin.EngineFaults{RepeatRefusals: repeatedRefusals})
	},
	DropBookingConnections: func(testbed *Testbed, random *rand.Rand) error {
		return randomElement(random, testbed.Fleet.Services).SetFaults(standin.ServiceFaults{DropNext: droppedBookingConnections})
	},
}

func randomElement[Element any](random *rand.Rand, elements []Element) Element {
	return elements[random.IntN(len(elements))]
}

// Disturbance records when a failure was caused.
type Disturbance struct {
	Kind DisturbanceKind
	At   time.Time
}

func (testbed *Testbed) recordDisturbance(kind DisturbanceKind) {
	testbed.mutex.Lock()
	defer testbed.mutex.Unlock()
	testbed.disturbances = append(testbed.disturbances, Disturbance{Kind: kind, At: time.Now()})
}

// Disturbances returns the disturbances so far, in the order of their times.
func (testbed *Testbed) Disturbances() []Disturbance {
	testbed.mutex.Lock()
	defer testbed.mutex.Unlock()
	return slices.Clone(testbed.disturbances)
}

// AllDisturbances returns all kinds, sorted by name.
func AllDisturbances() []DisturbanceKind {
	return slices.Sorted(maps.Keys(disturbanceFuncs))
}

// Disturb causes one disturbance per interval until the context ends. It repeats
// rounds through all kinds, each in a random order that the seed determines. The
// errors are those of a router that could not be started and of faults that could
// not be set.
func (testbed *Testbed) Disturb(ctx context.Context, seed uint64, interval time.Duration, kinds ...DisturbanceKind) error {
	random := rand.New(rand.NewPCG(seed, uint64(len(kinds))))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		for _, index := range random.Perm(len(kinds)) {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
			kind := kinds[index]
			if err := disturbanceFuncs[kind](testbed, random); err != nil {
				return fmt.Errorf("disturbance %s: %w", kind, err)
			}
			testbed.recordDisturbance(kind)
		}
	}
}
