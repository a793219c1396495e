package standin

// The engine queues each completion as an attempt, ordered by priority, until a
// slot is free. One goroutine runs the batch in steps: a step starts waiting
// attempts, takes longer the more slots are in use, and then advances every
// running attempt by one token or by one step of prefill. An attempt stores its
// events, so that a stream can be resumed after any position.

import (
	"context"
	"sync"
	"time"

	"github.com/google/btree"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const (
	defaultSlots            = 8
	defaultTokenInterval    = 10 * time.Millisecond
	defaultMaxEndedAttempts = 4096
	// maxStepLag limits the delay that the batch makes up for with shorter steps
	// after a step that ended late.
	maxStepLag = 50 * time.Millisecond
)

// EngineConfig configures NewEngine.
type EngineConfig struct {
	Name string
	// Address is a loopback IP address and port; empty means any free port.
	Address string
	// Slots is the maximum number of attempts that run at once; zero means
	// eight.
	Slots int
	// TokenInterval is the time between two tokens of an attempt before
	// FullBatchSlowdown is added; zero means ten milliseconds.
	TokenInterval time.Duration
	// FullBatchSlowdown is the relative increase of TokenInterval when all slots
	// are in use: 1 doubles it. With fewer slots in use, the increase is
	// proportionally smaller.
	FullBatchSlowdown float64
	// PrefillPerToken is the prefill time per uncached prompt token.
	PrefillPerToken time.Duration
	// QueueLimit is the maximum number of waiting attempts; zero means no limit.
	QueueLimit int
	// CacheBlocks is the capacity of the prefix cache in blocks of BlockTokens;
	// zero means 4096.
	CacheBlocks int
	// CacheEventDelay is the time until a cache event becomes visible.
	CacheEventDelay time.Duration
	// CacheEventLossRate is the share of cache events that is lost, from 0 to 1.
	CacheEventLossRate float64
	// LoadReportDelay is the age of the load that a load report shows.
	LoadReportDelay time.Duration
	// ModelLoadTime is the time to load a model, adapter or version, in addition
	// to the transfer from WeightStore.
	ModelLoadTime time.Duration
	// WeightStore is the store that model weights are loaded from; nil means
	// that the transfer takes no time.
	WeightStore *WeightStore
	// ModelWeightBytes is the size in bytes of each load from WeightStore.
	ModelWeightBytes int64
	// IgnoresFencing makes the engine accept orders with an outdated fencing
	// number.
	IgnoresFencing bool
	// Model is the model that is loaded at the start; empty means that the
	// engine serves requests for any model until an order sets one.
	Model string
	// MaxEndedAttempts is the number of most recently ended attempts whose
	// events are kept, so that they can be resumed; zero means 4096.
	MaxEndedAttempts int
	// Seed seeds the random choice of stream faults and lost cache events.
	Seed uint64
}

func (engineConfig EngineConfig) withDefaults() EngineConfig {
	if engineConfig.Slots <= 0 {
		engineConfig.Slots = defaultSlots
	}
	if engineConfig.TokenInterval <= 0 {
		engineConfig.TokenInterval = defaultTokenInterval
	}
	if engineConfig.CacheBlocks <= 0 {
		engineConfig.CacheBlocks = defaultCacheBlocks
	}
	if engineConfig.MaxEndedAttempts <= 0 {
		engineConfig.MaxEndedAttempts = defaultMaxEndedAttempts
	}
	return engineConfig
}

// Engine is a model engine with continuous batching.
type Engine struct {
	config        EngineConfig
	endpoint      *endpoint
	faultInjector *engineFaultInjector
	workAvailable chan struct{}
	stop          context.CancelFunc
	stopped       chan struct{}

	mutex         sync.Mutex
	attempts      map[string]*attempt
	arrivals      []*attempt
	waiting       *btree.BTreeG[*attempt]
	running       []*attempt
	endedCount    int
	endedAttempts []*attempt
	cache         *prefixCache
	loadHistory   loadHistory
	modelState    modelState
}

// NewEngine starts an engine. It returns fault.Invalid if the address isn't a
// loopback address, and fault.Unavailable if it can't listen there.
func NewEngine(config EngineConfig) (*Engine, error) {
	config = config.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	engine := &Engine{
		config:        config,
		faultInjector: newEngineFaultInjector(config.Seed),
		workAvailable: make(chan struct{}, 1),
		stop:          cancel,
		stopped:       make(chan struct{}),
		attempts:      make(map[string]*attempt),
		waiting:       btree.NewG(treeDegree, (*attempt).startsBefore),
		cache:         newPrefixCache(config),
		loadHistory:   loadHistory{delay: config.LoadReportDelay},
		modelState:    newModelState(config),
	}
	endpoint, err := newEndpoint(config.Address, newEngineHandler(engine))
	if err != nil {
		cancel()
		return nil, err
	}
	engine.endpoint = endpoint
	go func() {
		defer close(engine.stopped)
		engine.run(ctx)
	}()
	return engine, nil
}

// Name returns the configured name of the engine.
func (engine *Engine) Name() string { return engine.config.Name }

// Address returns the IP address and port.
func (engine *Engine) Address() string { return engine.endpoint.address() }

// Close stops the engine and closes all connections.
func (engine *Engine) Close() error {
	engine.stop()
	<-engine.stopped
	return engine.endpoint.close()
}

// BlackholeConnections permanently drops all data on the open connections, in
// both directions and without closing them. New connections work.
func (engine *Engine) BlackholeConnections() { engine.endpoint.blackholeConnections() }

// run executes the steps of the batch until the context ends.
func (engine *Engine) run(ctx context.Context) {
	stepEnd := time.Now()
	for ctx.Err() == nil {
		stepDuration, hasWork := engine.beginStep(time.Now())
		if !hasWork {
			if !engine.waitForWork(ctx) {
				return
			}
			stepEnd = time.Now()
			continue
		}
		stepEnd = stepEnd.Add(stepDuration)
		if lag := time.Since(stepEnd); lag > maxStepLag {
			stepEnd = stepEnd.Add(lag - maxStepLag)
		}
		if sleep(ctx, time.Until(stepEnd)) != nil {
			return
		}
		engine.finishStep(stepDuration, time.Now())
	}
}

// waitForWork blocks until an attempt was submitted. It returns false if the
// context ended first.
func (engine *Engine) waitForWork(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-engine.workAvailable:
		return true
	}
}

// beginStep starts waiting attempts while slots are free. It returns the duration
// of the next step, and whether any attempt is running.
func (engine *Engine) beginStep(now time.Time) (time.Duration, bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.loadHistory.addSample(engine.currentLoad(), now)
	for len(engine.running) < engine.config.Slots {
		attempt, ok := engine.waiting.DeleteMin()
		if !ok {
			break
		}
		engine.startAttempt(attempt, now)
	}
	slotUtilization := float64(len(engine.running)) / float64(engine.config.Slots)
	stepFactor := (1 + engine.config.FullBatchSlowdown*slotUtilization) * engine.faultInjector.slowFactor()
	return time.Duration(float64(engine.config.TokenInterval) * stepFactor), len(engine.running) > 0
}

func (engine *Engine) startAttempt(attempt *attempt, now time.Time) {
	attempt.running = true
	attempt.startedAt = now
	attempt.cachedTokens = engine.cache.add(attempt)
	attempt.remainingPrefill = engine.config.PrefillPerToken * time.Duration(attempt.promptTokens-attempt.cachedTokens)
	engine.running = append(engine.running, attempt)
}

// finishStep advances every running attempt by one token or one step of prefill,
// and removes those that have ended.
func (engine *Engine) finishStep(stepDuration time.Duration, now time.Time) {
	slowFactor := engine.faultInjector.slowFactor()
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	stillRunning := engine.running[:0]
	for _, attempt := range engine.running {
		if attempt.hasEnded() {
			continue
		}
		if attempt.remainingPrefill > 0 {
			attempt.remainingPrefill -= time.Duration(float64(stepDuration) / slowFactor)
		} else {
			attempt.emitToken(now)
		}
		if attempt.hasEnded() {
			engine.recordEnded(attempt)
			continue
		}
		stillRunning = append(stillRunning, attempt)
	}
	clear(engine.running[len(stillRunning):])
	engine.running = stillRunning
}

// recordEnded adds an ended attempt to endedAttempts. Beyond MaxEndedAttempts, it
// discards the events of the one that ended first.
func (engine *Engine) recordEnded(attempt *attempt) {
	engine.endedCount++
	engine.endedAttempts = append(engine.endedAttempts, attempt)
	if len(engine.endedAttempts) > engine.config.MaxEndedAttempts {
		engine.endedAttempts[0].dropEvents()
		engine.endedAttempts = engine.endedAttempts[1:]
	}
}

// submit queues an attempt, or returns an error if it can't be accepted.
func (engine *Engine) submit(attempt *attempt) error {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if err := engine.admissionError(attempt); err != nil {
		return err
	}
	attempt.arrivalIndex = uint64(len(engine.arrivals))
	engine.attempts[attempt.id] = attempt
	engine.arrivals = append(engine.arrivals, attempt)
	engine.waiting.ReplaceOrInsert(attempt)
	select {
	case engine.workAvailable <- struct{}{}:
	default:
	}
	return nil
}

// admissionError returns the reason why the attempt can't be queued, or nil.
func (engine *Engine) admissionError(attempt *attempt) error {
	if _, ok := engine.attempts[attempt.id]; ok {
		return fault.New(fault.Config{
			Kind:    fault.Conflict,
			Message: "attempt exists: " + attempt.id,
			Remedy:  "resume the attempt, or send a new attempt id",
			Outcome: fault.OutcomeUnknown,
		})
	}
	if limit := engine.config.QueueLimit; limit > 0 && engine.waiting.Len() >= limit {
		return fault.New(fault.Config{
			Kind:       fault.Overloaded,
			Message:    "queue is full",
			Remedy:     "retry after a delay or at another upstream",
			RetryAfter: time.Second,
		})
	}
	return engine.modelState.servingError(attempt.model, time.Now())
}

// find returns the attempt with the id, or nil.
func (engine *Engine) find(attemptID string) *attempt {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.attempts[attemptID]
}

// cancel cancels an attempt, unless it has ended, and returns its final record.
func (engine *Engine) cancel(attempt *attempt) AttemptRecord {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if !attempt.hasEnded() {
		engine.waiting.Delete(attempt)
		attempt.finish(AttemptCancelled, finishCancelled, time.Now())
		attempt.notifyReaders()
		engine.recordEnded(attempt)
	}
	return attempt.record()
}

// recordOf returns the record of an attempt.
func (engine *Engine) recordOf(attempt *attempt) AttemptRecord {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return attempt.record()
}

// currentLoad returns the actual load, without delay. The caller holds the mutex.
func (engine *Engine) currentLoad() LoadReport {
	return LoadReport{Running: len(engine.running), Waiting: engine.waiting.Len(), Capacity: engine.config.Slots}
}

// Load returns the load report, delayed by LoadReportDelay.
func (engine *Engine) Load() LoadReport {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.loadHistory.delayedReport(engine.currentLoad(), time.Now())
}

// Runs returns the internal records of all attempts, in order of arrival.
func (engine *Engine) Runs() []RunRecord {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	runs := make([]RunRecord, 0, len(engine.arrivals))
	for _, attempt := range engine.arrivals {
		runs = append(runs, attempt.runRecord())
	}
	return runs
}

// CacheCounts returns the numbers of cached and uncached prompt tokens so far.
func (engine *Engine) CacheCounts() CacheCounts {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.cache.counts
}

// CacheEvents returns the visible cache events after the position.
func (engine *Engine) CacheEvents(after uint64) CacheEvents {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.cache.eventsAfter(after, time.Now())
}
