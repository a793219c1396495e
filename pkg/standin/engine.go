package standin

// The flow of the engine: a completion becomes an attempt that waits by priority
// for a slot. One goroutine steps the batch: each step admits waiting attempts,
// lasts as long as the fullness of the batch demands, and gives every running
// attempt its next token or a part of its prefill. Handlers of streams follow the
// events that an attempt keeps, so that a stream can be resumed at any position.

import (
	"context"
	"sync"
	"time"

	"github.com/google/btree"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const (
	defaultSlots         = 8
	defaultTokenInterval = 10 * time.Millisecond
	defaultKeptAttempts  = 4096
	// maxStepDelay bounds how far the batch catches up after a late step.
	maxStepDelay = 50 * time.Millisecond
)

// EngineConfig configures NewEngine.
type EngineConfig struct {
	Name string
	// Address is a loopback IP number and port; empty means any free port.
	Address string
	// Slots is how many attempts run at once; zero means eight.
	Slots int
	// TokenInterval is the time between tokens of an attempt that runs alone;
	// zero means ten milliseconds.
	TokenInterval time.Duration
	// FullGrowth is by how much TokenInterval has grown when all slots are
	// taken: 1 doubles it. It grows in proportion to the taken slots.
	FullGrowth float64
	// PrefillPerToken is the time that each uncached prompt token takes.
	PrefillPerToken time.Duration
	// QueueLimit bounds the waiting attempts; zero means no bound.
	QueueLimit int
	// CacheBlocks is how many blocks of BlockTokens the prefix cache holds.
	CacheBlocks int
	// CacheEventLag is how late cache events are published.
	CacheEventLag time.Duration
	// CacheEventGapRate is the share of cache events that is lost.
	CacheEventGapRate float64
	// LoadLag is how old load reports are.
	LoadLag time.Duration
	// LoadTime is how long loading a model, adapter or version takes.
	LoadTime time.Duration
	// Weights is the store that weights are loaded from; nil means one without
	// a limit.
	Weights *WeightStore
	// WeightBytes is the size of what one order loads from Weights.
	WeightBytes int64
	// IgnoresFencing makes the engine obey orders with an old fence too.
	IgnoresFencing bool
	// Model is what is loaded at the start; empty means that the engine
	// answers for every model.
	Model string
	// KeptAttempts is how many ended attempts can still be resumed.
	KeptAttempts int
	// Seed seeds the choice of faults and gaps.
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
	if engineConfig.KeptAttempts <= 0 {
		engineConfig.KeptAttempts = defaultKeptAttempts
	}
	return engineConfig
}

// Engine is a model engine that batches continuously.
type Engine struct {
	config   EngineConfig
	endpoint *endpoint
	faults   *engineFaults
	wake     chan struct{}
	stop     context.CancelFunc
	stopped  chan struct{}

	mutex    sync.Mutex
	attempts map[string]*attempt
	order    []*attempt
	waiting  *btree.BTreeG[*attempt]
	running  []*attempt
	ended    int
	kept     []*attempt
	cache    *prefixCache
	load     laggedReport
	state    engineState
}

// NewEngine starts an engine.
func NewEngine(config EngineConfig) (*Engine, error) {
	config = config.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	engine := &Engine{
		config:   config,
		faults:   newEngineFaults(config.Seed),
		wake:     make(chan struct{}, 1),
		stop:     cancel,
		stopped:  make(chan struct{}),
		attempts: make(map[string]*attempt),
		waiting:  btree.NewG(treeDegree, (*attempt).before),
		cache:    newPrefixCache(config),
		load:     laggedReport{lag: config.LoadLag},
		state:    newEngineState(config),
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

// Name returns the name of the engine.
func (engine *Engine) Name() string { return engine.config.Name }

// Address returns the IP number and port.
func (engine *Engine) Address() string { return engine.endpoint.address() }

// Close stops the engine; open connections are cut.
func (engine *Engine) Close() error {
	engine.stop()
	<-engine.stopped
	return engine.endpoint.close()
}

// Silence makes all open connections silent for good; new ones work.
func (engine *Engine) Silence() { engine.endpoint.silence() }

// run steps the batch until the context ends.
func (engine *Engine) run(ctx context.Context) {
	next := time.Now()
	for ctx.Err() == nil {
		step, busy := engine.begin(time.Now())
		if !busy {
			if !engine.idle(ctx) {
				return
			}
			next = time.Now()
			continue
		}
		next = next.Add(step)
		if late := time.Since(next); late > maxStepDelay {
			next = next.Add(late - maxStepDelay)
		}
		if sleep(ctx, time.Until(next)) != nil {
			return
		}
		engine.advance(step, time.Now())
	}
}

// idle waits for work; it reports false when the context ended.
func (engine *Engine) idle(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-engine.wake:
		return true
	}
}

// begin admits waiting attempts and returns how long the next step lasts, and
// whether there is any work.
func (engine *Engine) begin(now time.Time) (time.Duration, bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.load.observe(engine.truth(), now)
	for len(engine.running) < engine.config.Slots {
		attempt, ok := engine.waiting.DeleteMin()
		if !ok {
			break
		}
		engine.admit(attempt, now)
	}
	fullness := float64(len(engine.running)) / float64(engine.config.Slots)
	factor := (1 + engine.config.FullGrowth*fullness) * engine.faults.slowFactor()
	return time.Duration(float64(engine.config.TokenInterval) * factor), len(engine.running) > 0
}

func (engine *Engine) admit(attempt *attempt, now time.Time) {
	attempt.running = true
	attempt.startedAt = now
	attempt.cached = engine.cache.admit(attempt)
	attempt.prefill = engine.config.PrefillPerToken * time.Duration(attempt.prompt-attempt.cached)
	engine.running = append(engine.running, attempt)
}

// advance gives every running attempt what one step brings.
func (engine *Engine) advance(step time.Duration, now time.Time) {
	slow := engine.faults.slowFactor()
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	still := engine.running[:0]
	for _, attempt := range engine.running {
		if attempt.ended() {
			continue
		}
		if attempt.prefill > 0 {
			attempt.prefill -= time.Duration(float64(step) / slow)
		} else {
			attempt.emit(now)
		}
		if attempt.ended() {
			engine.retire(attempt)
			continue
		}
		still = append(still, attempt)
	}
	clear(engine.running[len(still):])
	engine.running = still
}

// retire keeps the events of an ended attempt, and drops those of the oldest.
func (engine *Engine) retire(attempt *attempt) {
	engine.ended++
	engine.kept = append(engine.kept, attempt)
	if len(engine.kept) > engine.config.KeptAttempts {
		engine.kept[0].forget()
		engine.kept = engine.kept[1:]
	}
}

// submit queues an attempt.
func (engine *Engine) submit(attempt *attempt) error {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if err := engine.refusal(attempt); err != nil {
		return err
	}
	attempt.sequence = uint64(len(engine.order))
	engine.attempts[attempt.id] = attempt
	engine.order = append(engine.order, attempt)
	engine.waiting.ReplaceOrInsert(attempt)
	select {
	case engine.wake <- struct{}{}:
	default:
	}
	return nil
}

// refusal returns why the attempt cannot be queued, or nil.
func (engine *Engine) refusal(attempt *attempt) error {
	if _, ok := engine.attempts[attempt.id]; ok {
		return fault.New(fault.Config{
			Kind:    fault.Conflict,
			Message: "attempt exists: " + attempt.id,
			Remedy:  "resume it, or name a new attempt",
			Outcome: fault.OutcomeUnknown,
		})
	}
	if limit := engine.config.QueueLimit; limit > 0 && engine.waiting.Len() >= limit {
		return fault.New(fault.Config{
			Kind:       fault.Overloaded,
			Message:    "queue is full",
			Remedy:     "retry after a delay or elsewhere",
			RetryAfter: time.Second,
		})
	}
	return engine.state.refusal(attempt.model, time.Now())
}

// find returns the attempt with the id, or nil.
func (engine *Engine) find(id string) *attempt {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.attempts[id]
}

// cancel stops an attempt and returns its final record.
func (engine *Engine) cancel(attempt *attempt) AttemptRecord {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if !attempt.ended() {
		engine.waiting.Delete(attempt)
		attempt.end(AttemptCancelled, finishCancelled, time.Now())
		attempt.notify()
		engine.retire(attempt)
	}
	return attempt.record()
}

// recordOf returns the record of an attempt.
func (engine *Engine) recordOf(attempt *attempt) AttemptRecord {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return attempt.record()
}

// truth returns the load as it is.
func (engine *Engine) truth() LoadReport {
	return LoadReport{Running: len(engine.running), Waiting: engine.waiting.Len(), Capacity: engine.config.Slots}
}

// Load returns the load report, as late as configured.
func (engine *Engine) Load() LoadReport {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.load.read(engine.truth(), time.Now())
}

// Runs returns the engine's own record of all attempts, by arrival.
func (engine *Engine) Runs() []Run {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	runs := make([]Run, 0, len(engine.order))
	for _, attempt := range engine.order {
		runs = append(runs, attempt.run())
	}
	return runs
}

// CacheCounts returns how many prompt tokens the cache held.
func (engine *Engine) CacheCounts() CacheCounts {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.cache.counts
}

// CacheEvents returns the published cache events behind the position.
func (engine *Engine) CacheEvents(after uint64) CacheEvents {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.cache.published(after, time.Now())
}
