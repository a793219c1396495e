package standin

import (
	"maps"
	"math/rand/v2"
	"sync"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// StreamFault is a fault that is injected into individual streams.
type StreamFault string

// The stream faults.
const (
	// StreamTruncate ends the HTTP body halfway, without the end marker.
	StreamTruncate StreamFault = "truncate"
	// StreamDisconnect closes the connection halfway through the stream.
	StreamDisconnect StreamFault = "cut"
	// StreamStall stops sending halfway and keeps the connection open.
	StreamStall StreamFault = "stall"
	// StreamDuplicate sends one event twice.
	StreamDuplicate StreamFault = "duplicate"
	// StreamReorder swaps two consecutive events.
	StreamReorder StreamFault = "reorder"
	// StreamWrongAttempt sends the stream of another attempt.
	StreamWrongAttempt StreamFault = "wrong_attempt"
)

// FaultFrequency defines how often a fault is injected.
type FaultFrequency struct {
	// NextCount is the number of upcoming streams that get the fault.
	NextCount int `json:"next"`
	// Rate is the probability that each stream after those gets the fault, from 0
	// to 1.
	Rate float64 `json:"rate"`
}

// EngineFaults defines the faults that an engine injects. The zero value injects
// none.
type EngineFaults struct {
	// Refuse responds to every completion request with status 503, without
	// running it.
	Refuse bool `json:"refuse"`
	// RepeatRefusals is the number of upcoming completions on kept connections that
	// are run and answered like an earlier refusal, with no attempt ID.
	RepeatRefusals int `json:"repeat_refusals"`
	// RetryAfter is the Retry-After header of these responses; empty means none.
	RetryAfter string `json:"retry_after,omitempty"`
	// Leaving states in each response that the engine is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Hold accepts all requests, except those to /admin/, and never responds.
	Hold bool `json:"hold"`
	// SlowFactor multiplies the duration of each step; values up to 1 have no
	// effect.
	SlowFactor float64 `json:"slow_factor"`
	// CrashText crashes the engine for good when it begins to answer a prompt that
	// contains the text; empty means never.
	CrashText string `json:"crash_text,omitempty"`
	// Streams maps each stream fault to its frequency.
	Streams map[StreamFault]FaultFrequency `json:"streams,omitempty"`
}

func (engineFaults EngineFaults) validate() error {
	for kind, frequency := range engineFaults.Streams {
		_, known := streamFaults[kind]
		if !known || frequency.NextCount < 0 || frequency.Rate < 0 || frequency.Rate > 1 {
			return fault.New(fault.Config{
				Kind:    fault.Invalid,
				Message: "stream fault unknown or out of range: " + string(kind),
				Remedy:  "use a known fault, next >= 0 and rate between 0 and 1",
			})
		}
	}
	return nil
}

// engineFaultInjector stores the faults of an engine and selects those of its
// streams. It is safe for concurrent use.
type engineFaultInjector struct {
	mutex  sync.Mutex
	random *rand.Rand
	faults EngineFaults
}

func newEngineFaultInjector(seed uint64) *engineFaultInjector {
	return &engineFaultInjector{random: rand.New(rand.NewPCG(seed, seed))}
}

func (engineFaultInjector *engineFaultInjector) set(value EngineFaults) error {
	if err := value.validate(); err != nil {
		return err
	}
	value.Streams = maps.Clone(value.Streams)
	engineFaultInjector.mutex.Lock()
	defer engineFaultInjector.mutex.Unlock()
	engineFaultInjector.faults = value
	return nil
}

func (engineFaultInjector *engineFaultInjector) get() EngineFaults {
	engineFaultInjector.mutex.Lock()
	defer engineFaultInjector.mutex.Unlock()
	value := engineFaultInjector.faults
	value.Streams = maps.Clone(value.Streams)
	return value
}

func (engineFaultInjector *engineFaultInjector) slowFactor() float64 {
	engineFaultInjector.mutex.Lock()
	defer engineFaultInjector.mutex.Unlock()
	return max(engineFaultInjector.faults.SlowFactor, 1)
}

// takeRepeatedRefusal reports whether a refusal is to be repeated, and counts it.
func (engineFaultInjector *engineFaultInjector) takeRepeatedRefusal() bool {
	engineFaultInjector.mutex.Lock()
	defer engineFaultInjector.mutex.Unlock()
	if engineFaultInjector.faults.RepeatRefusals <= 0 {
		return false
	}
	engineFaultInjector.faults.RepeatRefusals--
	return true
}

// nextStreamFault returns the fault for the next stream, or an empty string for
// none.
func (engineFaultInjector *engineFaultInjector) nextStreamFault() StreamFault {
	engineFaultInjector.mutex.Lock()
	defer engineFaultInjector.mutex.Unlock()
	for _, kind := range streamFaultOrder {
		frequency := engineFaultInjector.faults.Streams[kind]
		if frequency.NextCount > 0 {
			frequency.NextCount--
			engineFaultInjector.faults.Streams[kind] = frequency
			return kind
		}
		if frequency.Rate > 0 && engineFaultInjector.random.Float64() < frequency.Rate {
			return kind
		}
	}
	return ""
}

// SetFaults replaces the injected faults. It returns fault.Invalid if a stream
// fault is unknown or its frequency is out of range.
func (engine *Engine) SetFaults(faults EngineFaults) error { return engine.faultInjector.set(faults) }

// Faults returns the faults that the engine currently injects.
func (engine *Engine) Faults() EngineFaults { return engine.faultInjector.get() }
