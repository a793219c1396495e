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

// DisturbanceKind names a failure that Disturb brings about.
type DisturbanceKind string

// The kinds of disturbances.
const (
	// KillRouter ends a router as a crash does and starts another in its place.
	KillRouter DisturbanceKind = "kill_router"
	// SilenceEngine makes the open connections of an engine silent.
	SilenceEngine DisturbanceKind = "silence_engine"
	// SilenceService makes the open connections of a plain service silent.
	SilenceService DisturbanceKind = "silence_service"
	// SilenceCallers makes the open connections of all callers silent.
	SilenceCallers DisturbanceKind = "silence_callers"
	// SilencePlatform makes the open connections of the platform silent.
	SilencePlatform DisturbanceKind = "silence_platform"
	// LoseAnswers loses the answers of some writes of the platform.
	LoseAnswers DisturbanceKind = "lose_answers"
	// BreakStreams hits some streams of an engine with each stream fault.
	BreakStreams DisturbanceKind = "break_streams"
	// DropBookings breaks the connection of some bookings after they ran.
	DropBookings DisturbanceKind = "drop_bookings"
)

const (
	lostAnswers     = 5
	brokenStreams   = 2
	droppedBookings = 2
)

// disturbances is the one table of disturbances; a new one is one row.
var disturbances = map[DisturbanceKind]func(testbed *Testbed, random *rand.Rand) error{
	KillRouter: func(testbed *Testbed, random *rand.Rand) error {
		index := random.IntN(len(testbed.Fleet.Routers))
		testbed.Fleet.KillRouter(index)
		return testbed.Fleet.StartRouter(index)
	},
	SilenceEngine: func(testbed *Testbed, random *rand.Rand) error {
		one(random, testbed.Fleet.Engines).Silence()
		return nil
	},
	SilenceService: func(testbed *Testbed, random *rand.Rand) error {
		one(random, testbed.Fleet.Services).Silence()
		return nil
	},
	SilenceCallers: func(testbed *Testbed, _ *rand.Rand) error {
		testbed.callers.Silence()
		return nil
	},
	SilencePlatform: func(testbed *Testbed, _ *rand.Rand) error {
		testbed.Fleet.Platform.Silence()
		return nil
	},
	LoseAnswers: func(testbed *Testbed, _ *rand.Rand) error {
		return testbed.Fleet.Platform.SetFaults(standin.PlatformFaults{LoseNext: lostAnswers})
	},
	BreakStreams: func(testbed *Testbed, random *rand.Rand) error {
		streams := make(map[standin.StreamFault]standin.Chance)
		for _, kind := range standin.StreamFaults() {
			streams[kind] = standin.Chance{Next: brokenStreams}
		}
		return one(random, testbed.Fleet.Engines).SetFaults(standin.EngineFaults{Streams: streams})
	},
	DropBookings: func(testbed *Testbed, random *rand.Rand) error {
		return one(random, testbed.Fleet.Services).SetFaults(standin.ServiceFaults{DropNext: droppedBookings})
	},
}

func one[Part any](random *rand.Rand, parts []Part) Part {
	return parts[random.IntN(len(parts))]
}

// Disturbance is one that was brought about.
type Disturbance struct {
	Kind DisturbanceKind
	At   time.Time
}

func (testbed *Testbed) note(kind DisturbanceKind) {
	testbed.mutex.Lock()
	defer testbed.mutex.Unlock()
	testbed.disturbances = append(testbed.disturbances, Disturbance{Kind: kind, At: time.Now()})
}

// Disturbances returns those brought about so far.
func (testbed *Testbed) Disturbances() []Disturbance {
	testbed.mutex.Lock()
	defer testbed.mutex.Unlock()
	return slices.Clone(testbed.disturbances)
}

// AllDisturbances returns the kinds in the order of their names.
func AllDisturbances() []DisturbanceKind {
	return slices.Sorted(maps.Keys(disturbances))
}

// Disturb brings about one disturbance after the other, in rounds through the
// kinds in an order that the seed decides, until the context ends. The error is
// that of a router that could not be started.
func (testbed *Testbed) Disturb(ctx context.Context, seed uint64, interval time.Duration, kinds ...DisturbanceKind) error {
	random := rand.New(rand.NewPCG(seed, uint64(len(kinds))))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		for _, next := range random.Perm(len(kinds)) {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
			kind := kinds[next]
			if err := disturbances[kind](testbed, random); err != nil {
				return fmt.Errorf("disturbance %s: %w", kind, err)
			}
			testbed.note(kind)
		}
	}
}
