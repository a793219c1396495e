package standin

import (
	"maps"
	"math/rand/v2"
	"sync"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// StreamFault names a fault that hits single streams.
type StreamFault string

// The faults of streams.
const (
	// StreamTruncate ends the HTTP body half way, without the end marker.
	StreamTruncate StreamFault = "truncate"
	// StreamCut breaks the connection half way.
	StreamCut StreamFault = "cut"
	// StreamStall sends nothing more from half way on.
	StreamStall StreamFault = "stall"
	// StreamDuplicate sends an event twice.
	StreamDuplicate StreamFault = "duplicate"
	// StreamReorder sends two events in the wrong order.
	StreamReorder StreamFault = "reorder"
	// StreamWrongAttempt answers with the stream of another attempt.
	StreamWrongAttempt StreamFault = "wrong_attempt"
)

// Chance says how often a fault hits.
type Chance struct {
	// Next is how many of the next streams are hit.
	Next int `json:"next"`
	// Rate is the share of the other streams that is hit, from 0 to 1.
	Rate float64 `json:"rate"`
}

// EngineFaults are the faults that are switched on in an engine. The zero value
// is none.
type EngineFaults struct {
	// Refuse answers every completion with 503, without running it.
	Refuse bool `json:"refuse"`
	// Hold accepts requests of every kind and answers none.
	Hold bool `json:"hold"`
	// SlowFactor lengthens each step; values up to 1 change nothing.
	SlowFactor float64 `json:"slow_factor"`
	// Streams are the faults of single streams.
	Streams map[StreamFault]Chance `json:"streams,omitempty"`
}

func (engineFaults EngineFaults) validate() error {
	for kind, chance := range engineFaults.Streams {
		_, known := streamFaults[kind]
		if !known || chance.Next < 0 || chance.Rate < 0 || chance.Rate > 1 {
			return fault.New(fault.Config{
				Kind:    fault.Invalid,
				Message: "stream fault unknown or out of range: " + string(kind),
				Remedy:  "use a known fault, next >= 0 and rate between 0 and 1",
			})
		}
	}
	return nil
}

// engineFaults guards the faults of an engine.
type engineFaults struct {
	mutex  sync.Mutex
	random *rand.Rand
	faults EngineFaults
}

func newEngineFaults(seed uint64) *engineFaults {
	return &engineFaults{random: rand.New(rand.NewPCG(seed, seed))}
}

func (engineFaults *engineFaults) set(value EngineFaults) error {
	if err := value.validate(); err != nil {
		return err
	}
	value.Streams = maps.Clone(value.Streams)
	engineFaults.mutex.Lock()
	defer engineFaults.mutex.Unlock()
	engineFaults.faults = value
	return nil
}

func (engineFaults *engineFaults) get() EngineFaults {
	engineFaults.mutex.Lock()
	defer engineFaults.mutex.Unlock()
	value := engineFaults.faults
	value.Streams = maps.Clone(value.Streams)
	return value
}

func (engineFaults *engineFaults) slowFactor() float64 {
	engineFaults.mutex.Lock()
	defer engineFaults.mutex.Unlock()
	return max(engineFaults.faults.SlowFactor, 1)
}

// draw returns the fault that hits the next stream, or the empty string.
func (engineFaults *engineFaults) draw() StreamFault {
	engineFaults.mutex.Lock()
	defer engineFaults.mutex.Unlock()
	for _, kind := range streamFaultOrder {
		chance := engineFaults.faults.Streams[kind]
		if chance.Next > 0 {
			chance.Next--
			engineFaults.faults.Streams[kind] = chance
			return kind
		}
		if chance.Rate > 0 && engineFaults.random.Float64() < chance.Rate {
			return kind
		}
	}
	return ""
}

// SetFaults replaces the faults.
func (engine *Engine) SetFaults(faults EngineFaults) error { return engine.faults.set(faults) }

// Faults returns the faults that are switched on.
func (engine *Engine) Faults() EngineFaults { return engine.faults.get() }
