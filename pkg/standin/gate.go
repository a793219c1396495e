package standin

// The flow of the gate: every call to the platform passes pass, which counts it,
// applies the faults that are switched on, takes from the rate limit, runs the
// effect, and may then lose the answer.

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// PlatformFaults are the faults that are switched on in a Platform. The zero
// value is none.
type PlatformFaults struct {
	// Outage refuses all calls before they take effect.
	Outage bool `json:"outage"`
	// Blackhole holds all calls until their deadline, without effect.
	Blackhole bool `json:"blackhole"`
	// DelayMS is added to each call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseRate is the share of writes whose answer is lost after they took
	// effect, from 0 to 1.
	LoseRate float64 `json:"lose_rate"`
	// LoseNext is how many of the next writes lose their answer.
	LoseNext int `json:"lose_next"`
	// Partitioned are the names of clients that are cut off: their calls hang
	// until their deadline.
	Partitioned []string `json:"partitioned,omitempty"`
	// Services restricts the faults to some of table, objects and vms; empty
	// means all.
	Services []string `json:"services,omitempty"`
}

// validate reports values out of range.
func (platformFaults PlatformFaults) validate() error {
	valid := platformFaults.DelayMS >= 0 && platformFaults.LoseRate >= 0 && platformFaults.LoseRate <= 1 && platformFaults.LoseNext >= 0
	if valid {
		return nil
	}
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: "fault out of range",
		Remedy:  "use delay_ms >= 0, lose_next >= 0 and lose_rate between 0 and 1",
	})
}

// The services of the platform, as PlatformFaults and counts name them.
const (
	serviceTable   = "table"
	serviceObjects = "objects"
	serviceVMs     = "vms"
)

// callKind describes one kind of call: its name in counts and what it takes.
type callKind struct {
	name    string
	service string
	write   bool
}

// The kinds of calls to the platform.
var (
	callTransact     = callKind{name: "transact", service: serviceTable, write: true}
	callGet          = callKind{name: "get", service: serviceTable}
	callQuery        = callKind{name: "query", service: serviceTable}
	callPutObject    = callKind{name: "put_object", service: serviceObjects, write: true}
	callGetObject    = callKind{name: "get_object", service: serviceObjects}
	callListObjects  = callKind{name: "list_objects", service: serviceObjects}
	callDeleteObject = callKind{name: "delete_object", service: serviceObjects, write: true}
	callListVMs      = callKind{name: "list_vms", service: serviceVMs}
)

// CallCounts counts the calls of one kind.
type CallCounts struct {
	// Calls counts all calls, whatever became of them.
	Calls int64 `json:"calls"`
	// Units counts items written or read by calls within the rate.
	Units int64 `json:"units"`
	// Limited counts calls refused for their rate.
	Limited int64 `json:"limited"`
	// Failed counts calls that a switched fault refused or held.
	Failed int64 `json:"failed"`
	// Lost counts calls that took effect and whose answer was lost.
	Lost int64 `json:"lost"`
}

// limits are the rates of one service; table and objects have their own.
type limits struct {
	writes *rate.Limiter
	reads  *rate.Limiter
}

func newLimits(writesPerSecond, readsPerSecond int) limits {
	return limits{writes: newLimiter(writesPerSecond), reads: newLimiter(readsPerSecond)}
}

// newLimiter allows a second's worth at once, and any one transaction.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(perSecond, platform.MaxTransactionWrites))
}

// gate applies rates and faults to the calls of the platform and counts them.
type gate struct {
	limits map[string]limits

	mutex  sync.Mutex
	random *rand.Rand
	faults PlatformFaults
	counts map[string]CallCounts
}

func newGate(config PlatformConfig) *gate {
	return &gate{
		limits: map[string]limits{
			serviceTable:   newLimits(config.WritesPerSecond, config.ReadsPerSecond),
			serviceObjects: newLimits(config.WritesPerSecond, config.ReadsPerSecond),
			serviceVMs:     newLimits(0, 0),
		},
		random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
		counts: make(map[string]CallCounts),
	}
}

// call is one call of a client.
type call struct {
	client string
	kind   callKind
	units  int
}

// pass runs the effect of a call behind the faults and the rate.
func (gate *gate) pass(ctx context.Context, call call, effect func() error) error {
	gate.count(call, func(counts *CallCounts) { counts.Calls++ })
	faults := gate.faultsFor(call)
	if err := gate.obstruct(ctx, call, faults); err != nil {
		gate.count(call, func(counts *CallCounts) { counts.Failed++ })
		return err
	}
	if !gate.allow(call) {
		gate.count(call, func(counts *CallCounts) { counts.Limited++ })
		return fault.New(fault.Config{Kind: fault.Overloaded, Message: "rate exceeded", Remedy: "retry after a delay"})
	}
	gate.count(call, func(counts *CallCounts) { counts.Units += int64(call.units) })
	if err := effect(); err != nil {
		return err
	}
	if call.kind.write && gate.losesAnswer(call) {
		gate.count(call, func(counts *CallCounts) { counts.Lost++ })
		return unavailable("answer lost")
	}
	return nil
}

func (gate *gate) allow(call call) bool {
	limits := gate.limits[call.kind.service]
	if call.kind.write {
		return limits.writes.AllowN(time.Now(), call.units)
	}
	return limits.reads.AllowN(time.Now(), call.units)
}

// faultsFor returns the faults that hit the call.
func (gate *gate) faultsFor(call call) PlatformFaults {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if !gate.concerns(call) {
		return PlatformFaults{}
	}
	return gate.faults
}

func (gate *gate) concerns(call call) bool {
	return len(gate.faults.Services) == 0 || slices.Contains(gate.faults.Services, call.kind.service)
}

// obstruct delays, holds or refuses a call before its effect.
func (gate *gate) obstruct(ctx context.Context, call call, faults PlatformFaults) error {
	if faults.Blackhole || slices.Contains(faults.Partitioned, call.client) {
		<-ctx.Done()
		return unavailable("no answer before the deadline")
	}
	if err := sleep(ctx, time.Duration(faults.DelayMS)*time.Millisecond); err != nil {
		return unavailable("no answer before the deadline")
	}
	if faults.Outage {
		return unavailable("platform is down")
	}
	return nil
}

func (gate *gate) losesAnswer(call call) bool {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if !gate.concerns(call) {
		return false
	}
	if gate.faults.LoseNext > 0 {
		gate.faults.LoseNext--
		return true
	}
	return gate.random.Float64() < gate.faults.LoseRate
}

func (gate *gate) count(call call, change func(*CallCounts)) {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	counts := gate.counts[call.kind.name]
	change(&counts)
	gate.counts[call.kind.name] = counts
}

func unavailable(message string) error {
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: message,
		Remedy:  "read back before relying on either result",
		Outcome: fault.OutcomeUnknown,
	})
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
