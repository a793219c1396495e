package warmup

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/notice"
	"gitlab.com/wisterialb/wisterialb/pkg/rendezvous"
)

// Availability says whether an engine may get a request now.
type Availability int

// The availabilities of an engine.
const (
	// Open means that it may.
	Open Availability = iota
	// Ramping means that it is warm but has got its part already. It may get the request
	// if no engine is open.
	Ramping
	// Closed means that it is cold and this router has no permit.
	Closed
)

// Entry is what an engine says of itself in the table.
type Entry struct {
	Service string
	Process notice.Process
	// Sequence counts the entries that the process has written.
	Sequence int64
	// ColdLeft is for how long the engine was still cold when it wrote the entry.
	ColdLeft time.Duration
	// Restored is set for an entry of a table that was restored from a copy.
	Restored bool
}

// Change is an engine that turned cold or warm at this router, with the inputs of the
// decision.
type Change struct {
	Service string
	Process notice.Process
	Cold    bool
	Reason  Reason
	// ColdUntil is the end of the cold time.
	ColdUntil time.Time
	// Sequence is that of the last entry, and EntryAge the time since it was received.
	Sequence int64
	EntryAge time.Duration
	// Holder is set if this router is one of those that may send to the engine while it
	// is cold. Serving is the number of serving routers of the view, and ViewAge the time
	// since it changed.
	Holder  bool
	Serving int
	ViewAge time.Duration
}

// Config configures a Limiter.
type Config struct {
	Bound Bound
	// Limits returns those of a service.
	Limits func(service string) Limits
	// OnChange receives each change; nil means that nothing does.
	OnChange func(change Change)
	// Random spreads the returns of refused callers; nil means a source with a random
	// seed.
	Random *rand.Rand
}

// engine is the state of one engine.
type engine struct {
	service string
	process notice.Process
	hash    uint64
	evidence
	// isHolder is set while this router is a holder of the engine, since heldSince.
	isHolder  bool
	heldSince time.Time
	// cold limits the requests during the cold time, ramp those after it, which ended at
	// rampFrom.
	cold, ramp bucket
	rampFrom   time.Time
	// reportedCold is the state that was last passed on.
	reportedCold bool
}

// Statistics are counts of one service.
type Statistics struct {
	// Cold is the number of engines that count as cold.
	Cold int
	// Permits and Refusals count the requests sent to cold engines, and those refused
	// because all engines were cold.
	Permits, Refusals uint64
}

// service is the state of a service.
type service struct {
	permits, refusals uint64
	// activeUntil is when the last engine has left its ramp.
	activeUntil time.Time
	// turnAt is when the caller that was refused last is to come back.
	turnAt time.Time
}

// Limiter decides which engines may get requests. It is safe for concurrent use. A nil
// Limiter limits nothing.
type Limiter struct {
	config   Config
	mutex    sync.Mutex
	fleet    fleet
	engines  map[string]*engine
	services map[string]*service
}

// NewLimiter returns a limiter that knows no engines and no routers.
func NewLimiter(config Config) *Limiter {
	if config.OnChange == nil {
		config.OnChange = func(Change) {}
	}
	if config.Random == nil {
		config.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Limiter{config: config, engines: make(map[string]*engine), services: make(map[string]*service)}
}

// SetView replaces the view of the fleet. It is called periodically, so it also passes
// on which engines have become warm by the passing of time.
func (limiter *Limiter) SetView(view View, now time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	fleet, changed := limiter.fleet.withView(view, now)
	limiter.fleet = fleet
	for _, engine := range limiter.engines {
		if changed {
			limiter.assign(engine, now)
		}
		limiter.settle(engine, now)
	}
}

// Observe records an entry of an engine. Another process, or one whose count began
// anew, counts as cold like an engine that was not known.
func (limiter *Limiter) Observe(entry Entry, now time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	known, ok := limiter.engines[entry.Process.ID]
	isSame := ok && known.process == entry.Process && known.service == entry.Service
	if isSame && (entry.Restored || entry.Sequence >= known.sequence) {
		known.evidence = known.withEntry(entry, limiter.config.Limits(entry.Service).ColdPeriod, now)
		limiter.settle(known, now)
		return
	}
	added := &engine{
		service: entry.Service, process: entry.Process, hash: rendezvous.Hash(entry.Process.ID), evidence: newEvidence(entry, now),
		cold: bucket{tokens: burst, updatedAt: now},
	}
	if ok { // a restart gives no further burst
		added.cold, added.reportedCold = known.cold, known.reportedCold
		added.isHolder, added.heldSince = known.isHolder, known.heldSince
	} else {
		limiter.assign(added, limiter.fleet.changedAt)
	}
	limiter.engines[entry.Process.ID] = added
	limiter.settle(added, now)
}

// ReportCold records that an answer of the process stated for how long it is still cold.
func (limiter *Limiter) ReportCold(process notice.Process, coldLeft time.Duration, now time.Time) {
	limiter.update(process, now, func(engine *engine, limits Limits) {
		engine.evidence = engine.withAnswer(coldLeft, limits.ColdPeriod, now)
	})
}

// MarkCold lets the engine of a zone that was taken back count as cold, until an entry
// written since then says otherwise. An engine that isn't known is cold when it is seen.
func (limiter *Limiter) MarkCold(process notice.Process, now time.Time) {
	limiter.update(process, now, func(engine *engine, _ Limits) {
		engine.evidence = engine.withDoubt(ZoneTakenBack, now)
	})
}

// ReportDown records that the host of the process refuses connections. A router that is
// cut off from the table learns of a restart in no other way.
func (limiter *Limiter) ReportDown(process notice.Process, now time.Time) {
	limiter.update(process, now, func(engine *engine, _ Limits) {
		engine.evidence = engine.withDoubt(FoundDown, now)
	})
}

func (limiter *Limiter) update(process notice.Process, now time.Time, change func(engine *engine, limits Limits)) {
	if limiter == nil {
		return
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if engine, ok := limiter.engines[process.ID]; ok && engine.process == process {
		change(engine, limiter.config.Limits(engine.service))
		limiter.settle(engine, now)
	}
}

// Forget removes an engine that is no longer registered.
func (limiter *Limiter) Forget(id string) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	delete(limiter.engines, id)
}

// IsActive reports whether an engine of the service may be other than open.
func (limiter *Limiter) IsActive(service string, now time.Time) bool {
	if limiter == nil {
		return false
	}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	known, ok := limiter.services[service]
	return ok && now.Before(known.activeUntil)
}

// Availability returns that of the process's engine.
func (limiter *Limiter) Availability(process notice.Process, now time.Time) Availability {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	engine, ok := limiter.engines[process.ID]
	if !ok {
		return Open // a service without limits, or one that is being removed
	}
	availability, _ := limiter.availability(engine, now)
	return availability
}

// Take takes a permit for a request to the process's engine. It reports whether there
// is one. An engine that is warm needs none.
func (limiter *Limiter) Take(process notice.Process, now time.Time) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	engine, ok := limiter.engines[process.ID]
	if !ok {
		return true
	}
	availability, taken := limiter.availability(engine, now)
	if availability == Open && taken != nil {
		taken.tokens--
		if taken == &engine.cold {
			limiter.serviceOf(engine.service).permits++
		}
	}
	return availability != Closed
}

// availability returns that of an engine, and the bucket from which a request takes a
// token; nil if it needs none.
func (limiter *Limiter) availability(engine *engine, now time.Time) (Availability, *bucket) {
	limits := limiter.config.Limits(engine.service)
	if !limits.IsEnabled() {
		return Open, nil
	}
	coldEnd := engine.coldEnd(limits.ColdPeriod)
	if now.Before(coldEnd) {
		if limiter.fillCold(engine, limits, now) && engine.cold.tokens >= 1 {
			return Open, &engine.cold
		}
		return Closed, nil
	}
	if !now.Before(coldEnd.Add(limits.ColdPeriod)) {
		return Open, nil
	}
	if !engine.rampFrom.Equal(coldEnd) {
		// The routers' first requests are spread over the time that each of them waits
		// for its second.
		engine.rampFrom = coldEnd
		phase := float64(rendezvous.Score(engine.hash, limiter.fleet.selfHash)) / math.MaxUint64
		engine.ramp = bucket{tokens: phase, updatedAt: coldEnd}
	}
	engine.ramp = engine.ramp.filled(rampRate(limits, now.Sub(coldEnd), limiter.fleet.rampRouters()), now)
	if engine.ramp.tokens >= 1 {
		return Open, &engine.ramp
	}
	return Ramping, nil
}

// fillCold fills the bucket of the cold time. It reports whether this router may send to
// the engine at all. Its bucket is empty when it becomes a holder, as the preceding
// holder may just have used its own burst.
func (limiter *Limiter) fillCold(engine *engine, limits Limits, now time.Time) bool {
	if !engine.isHolder {
		return false
	}
	if from := engine.heldSince.Add(handoverTime); engine.cold.updatedAt.Before(from) {
		engine.cold = bucket{updatedAt: from}
	}
	rate := limiter.holderRate(limits)
	engine.cold = engine.cold.filled(rate, now)
	return rate > 0
}

func (limiter *Limiter) holders() int { return limiter.config.Bound.holders(len(limiter.fleet.names)) }

func (limiter *Limiter) holderRate(limits Limits) float64 {
	return limiter.config.Bound.rateOfHolder(limits, limiter.holders())
}

// assign decides whether this router is a holder of the engine, if so since the given
// time.
func (limiter *Limiter) assign(engine *engine, since time.Time) {
	wasHolder := engine.isHolder
	engine.isHolder = limiter.fleet.holds(engine.hash, limiter.holders())
	if engine.isHolder && !wasHolder {
		engine.heldSince = since
	}
}

// settle passes on whether the engine turned cold or warm, and for how long its service
// needs decisions.
func (limiter *Limiter) settle(engine *engine, now time.Time) {
	limits := limiter.config.Limits(engine.service)
	if !limits.IsEnabled() {
		engine.reportedCold = false
		return
	}
	coldEnd := engine.coldEnd(limits.ColdPeriod)
	service := limiter.serviceOf(engine.service)
	if end := coldEnd.Add(limits.ColdPeriod); end.After(service.activeUntil) {
		service.activeUntil = end
	}
	cold := now.Before(coldEnd)
	if cold == engine.reportedCold {
		return
	}
	engine.reportedCold = cold
	change := Change{
		Service: engine.service, Process: engine.process, Cold: cold, Reason: engine.reason, ColdUntil: coldEnd,
		Sequence: engine.sequence, EntryAge: now.Sub(engine.receivedAt),
		Holder: engine.isHolder, Serving: len(limiter.fleet.names), ViewAge: now.Sub(limiter.fleet.changedAt),
	}
	if !cold && !now.Equal(engine.receivedAt) {
		change.Reason = TimePassed
	}
	limiter.config.OnChange(change)
}

func (limiter *Limiter) serviceOf(name string) *service {
	known, ok := limiter.services[name]
	if !ok {
		known = &service{}
		limiter.services[name] = known
	}
	return known
}

// Statistics returns the counts of all services that have limits or had them.
func (limiter *Limiter) Statistics(now time.Time) map[string]Statistics {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	statistics := make(map[string]Statistics, len(limiter.services))
	for name, service := range limiter.services {
		statistics[name] = Statistics{Permits: service.permits, Refusals: service.refusals}
	}
	for _, engine := range limiter.engines {
		limits := limiter.config.Limits(engine.service)
		if limits.IsEnabled() && now.Before(engine.coldEnd(limits.ColdPeriod)) {
			counts := statistics[engine.service]
			counts.Cold++
			statistics[engine.service] = counts
		}
	}
	return statistics
}
