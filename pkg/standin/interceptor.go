package standin

// The interceptor handles every call to the platform. It counts the call, injects
// faults, enforces the rate limit, runs the operation, and may then drop the
// response of a write.

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

// PlatformFaults defines the faults that a Platform injects. The zero value injects
// none.
type PlatformFaults struct {
	// Outage makes all calls fail at once, without effect.
	Outage bool `json:"outage"`
	// Blackhole blocks all calls until their deadline, without effect.
	Blackhole bool `json:"blackhole"`
	// DelayMS is the delay before each call in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// ResponseLossRate is the probability that the response of a write is lost
	// after the write took effect, from 0 to 1.
	ResponseLossRate float64 `json:"lose_rate"`
	// LoseNextResponses is the number of upcoming writes whose response is lost
	// after they took effect.
	LoseNextResponses int `json:"lose_next"`
	// Partitioned lists the names of clients that are partitioned from the
	// platform: their calls block until their deadline, without effect.
	Partitioned []string `json:"partitioned,omitempty"`
	// Services restricts the faults to the named services (table, objects, vms);
	// empty means all.
	Services []string `json:"services,omitempty"`
}

// validate returns fault.Invalid if a value is out of range.
func (platformFaults PlatformFaults) validate() error {
	valid := platformFaults.DelayMS >= 0 && platformFaults.ResponseLossRate >= 0 && platformFaults.ResponseLossRate <= 1 && platformFaults.LoseNextResponses >= 0
	if valid {
		return nil
	}
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: "fault out of range",
		Remedy:  "use delay_ms >= 0, lose_next >= 0 and lose_rate between 0 and 1",
	})
}

// The names of the platform's services in PlatformFaults.Services.
const (
	serviceTable   = "table"
	serviceObjects = "objects"
	serviceVMs     = "vms"
)

// callKind is a kind of call to the platform. Its name is the key in the counts,
// and service and isWrite select its rate limit.
type callKind struct {
	name    string
	service string
	isWrite bool
}

// The kinds of calls to the platform.
var (
	callTransact     = callKind{name: "transact", service: serviceTable, isWrite: true}
	callGet          = callKind{name: "get", service: serviceTable}
	callQuery        = callKind{name: "query", service: serviceTable}
	callPutObject    = callKind{name: "put_object", service: serviceObjects, isWrite: true}
	callGetObject    = callKind{name: "get_object", service: serviceObjects}
	callListObjects  = callKind{name: "list_objects", service: serviceObjects}
	callDeleteObject = callKind{name: "delete_object", service: serviceObjects, isWrite: true}
	callListVMs      = callKind{name: "list_vms", service: serviceVMs}
)

// CallCounts counts the calls of one kind.
type CallCounts struct {
	// Calls is the number of all calls, whatever their result.
	Calls int64 `json:"calls"`
	// Units is the number of units (items, objects or queries) in calls within the
	// rate limit.
	Units int64 `json:"units"`
	// RateLimited is the number of calls refused by the rate limit.
	RateLimited int64 `json:"limited"`
	// Failed is the number of calls that an injected fault refused or blocked.
	Failed int64 `json:"failed"`
	// ResponsesLost is the number of calls that took effect but whose response was
	// lost.
	ResponsesLost int64 `json:"lost"`
}

// rateLimits holds the rate limits of one service.
type rateLimits struct {
	writes *rate.Limiter
	reads  *rate.Limiter
}

func newRateLimits(writesPerSecond, readsPerSecond int) rateLimits {
	return rateLimits{writes: newLimiter(writesPerSecond), reads: newLimiter(readsPerSecond)}
}

// newLimiter returns a limiter whose burst is the rate of one second, but always
// large enough for the largest transaction. Zero means no limit.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(perSecond, platform.MaxTransactionWrites))
}

// interceptor enforces rate limits on calls to the platform, injects faults into
// them and counts them.
type interceptor struct {
	rateLimits map[string]rateLimits

	mutex  sync.Mutex
	random *rand.Rand
	faults PlatformFaults
	counts map[string]CallCounts
}

func newInterceptor(config PlatformConfig) *interceptor {
	return &interceptor{
		rateLimits: map[string]rateLimits{
			serviceTable:   newRateLimits(config.WritesPerSecond, config.ReadsPerSecond),
			serviceObjects: newRateLimits(config.WritesPerSecond, config.ReadsPerSecond),
			serviceVMs:     newRateLimits(0, 0),
		},
		random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
		counts: make(map[string]CallCounts),
	}
}

// call is one call of a client. Its units count against the rate limit.
type call struct {
	client string
	kind   callKind
	units  int
}

// intercept runs the operation of a call, unless a fault or the rate limit prevents
// it. It returns fault.Unavailable with an unknown outcome for a fault, and
// fault.Overloaded beyond the rate limit.
func (interceptor *interceptor) intercept(ctx context.Context, call call, operation func() error) error {
	interceptor.updateCounts(call, func(counts *CallCounts) { counts.Calls++ })
	faults := interceptor.faultsFor(call)
	if err := interceptor.injectFaults(ctx, call, faults); err != nil {
		interceptor.updateCounts(call, func(counts *CallCounts) { counts.Failed++ })
		return err
	}
	if !interceptor.withinRate(call) {
		interceptor.updateCounts(call, func(counts *CallCounts) { counts.RateLimited++ })
		return fault.New(fault.Config{Kind: fault.Overloaded, Message: "rate exceeded", Remedy: "retry after a delay"})
	}
	interceptor.updateCounts(call, func(counts *CallCounts) { counts.Units += int64(call.units) })
	if err := operation(); err != nil {
		return err
	}
	if call.kind.isWrite && interceptor.losesResponse(call) {
		interceptor.updateCounts(call, func(counts *CallCounts) { counts.ResponsesLost++ })
		return unavailableError("response lost")
	}
	return nil
}

func (interceptor *interceptor) withinRate(call call) bool {
	rateLimits := interceptor.rateLimits[call.kind.service]
	if call.kind.isWrite {
		return rateLimits.writes.AllowN(time.Now(), call.units)
	}
	return rateLimits.reads.AllowN(time.Now(), call.units)
}

// faultsFor returns the faults that apply to the call.
func (interceptor *interceptor) faultsFor(call call) PlatformFaults {
	interceptor.mutex.Lock()
	defer interceptor.mutex.Unlock()
	if !interceptor.faultsApplyTo(call) {
		return PlatformFaults{}
	}
	return interceptor.faults
}

func (interceptor *interceptor) faultsApplyTo(call call) bool {
	return len(interceptor.faults.Services) == 0 || slices.Contains(interceptor.faults.Services, call.kind.service)
}

// injectFaults delays, blocks or refuses a call before it takes effect.
func (interceptor *interceptor) injectFaults(ctx context.Context, call call, faults PlatformFaults) error {
	if faults.Blackhole || slices.Contains(faults.Partitioned, call.client) {
		<-ctx.Done()
		return unavailableError("no response before the deadline")
	}
	if err := sleep(ctx, time.Duration(faults.DelayMS)*time.Millisecond); err != nil {
		return unavailableError("no response before the deadline")
	}
	if faults.Outage {
		return unavailableError("platform is down")
	}
	return nil
}

func (interceptor *interceptor) losesResponse(call call) bool {
	interceptor.mutex.Lock()
	defer interceptor.mutex.Unlock()
	if !interceptor.faultsApplyTo(call) {
		return false
	}
	if interceptor.faults.LoseNextResponses > 0 {
		interceptor.faults.LoseNextResponses--
		return true
	}
	return interceptor.random.Float64() < interceptor.faults.ResponseLossRate
}

func (interceptor *interceptor) updateCounts(call call, update func(*CallCounts)) {
	interceptor.mutex.Lock()
	defer interceptor.mutex.Unlock()
	counts := interceptor.counts[call.kind.name]
	update(&counts)
	interceptor.counts[call.kind.name] = counts
}

func unavailableError(message string) error {
	return fault.New(fault.Config{
		Kind:    fault.Unavailable,
		Message: message,
		Remedy:  "read the data again before relying on either result",
		Outcome: fault.OutcomeUnknown,
	})
}

// sleep waits for the duration. It returns the context's error if the context ends
// first.
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
