package fleet

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// Defaults of a membership.
const (
	defaultLeaseDuration = 30 * time.Second
	defaultProbeInterval = 500 * time.Millisecond
	defaultProbeTimeout  = time.Second
	// snapshotAge is how old load and revision of others may be in a snapshot
	// before the next message makes a new one.
	snapshotAge = time.Second
)

// MembershipConfig configures a Membership.
type MembershipConfig struct {
	Table platform.Table
	// VMs is the platform's list; nil means that there is none.
	VMs platform.VMList
	// Prober speaks to other routers; nil means that there are none.
	Prober Prober
	// Self is this router. Its incarnation must be new at each start.
	Self   Member
	Logger log.Logger
	// LeaseDuration is how long a watcher must see a lease unchanged before it
	// takes the holder for dead; zero means 30 s.
	LeaseDuration time.Duration
	// ProbeInterval is the time between probes; zero means 500 ms.
	ProbeInterval time.Duration
	// ProbeTimeout bounds one probe; zero means 1 s.
	ProbeTimeout time.Duration
	// OnDead closes what a dead incarnation held. It may be called more than
	// once and by several routers for one incarnation, so it must be
	// idempotent. After an error it is called again.
	OnDead func(ctx context.Context, incarnation string) error
	// OnRevision is told the configuration revision of each peer that speaks.
	OnRevision func(revision uint64)
	// OnFenced is called once if other routers took this one for dead. The
	// process should end and start again as a new incarnation.
	OnFenced func()
}

func (config MembershipConfig) withDefaults() MembershipConfig {
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	if config.LeaseDuration <= 0 {
		config.LeaseDuration = defaultLeaseDuration
	}
	if config.ProbeInterval <= 0 {
		config.ProbeInterval = defaultProbeInterval
	}
	if config.ProbeTimeout <= 0 {
		config.ProbeTimeout = defaultProbeTimeout
	}
	if config.OnDead == nil {
		config.OnDead = func(context.Context, string) error { return nil }
	}
	if config.OnRevision == nil {
		config.OnRevision = func(uint64) {}
	}
	if config.OnFenced == nil {
		config.OnFenced = func() {}
	}
	return config
}

// snapshot is what traffic reads of the control state.
type snapshot struct {
	at         time.Time
	self       Member
	members    []Member
	leavingVMs map[string]time.Time
	busy       map[string]busyEntry
}

// Membership is one router's part in the fleet and its knowledge of it. The
// control state belongs to one goroutine; traffic reads snapshots of it.
type Membership struct {
	config MembershipConfig
	roster *roster

	// leaseMutex orders renewals.
	leaseMutex sync.Mutex
	lease      *lease
	// registered is set once the row has been written.
	registered atomic.Bool

	commands chan func()
	latest   atomic.Pointer[snapshot]
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
	renewNow chan struct{}
}

// NewMembership registers the router and starts to watch the others.
func NewMembership(config MembershipConfig) *Membership {
	config = config.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	membership := &Membership{
		config:   config,
		roster:   newRoster(config.Self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		lease:    &lease{table: config.Table, incarnation: config.Self.Incarnation},
		commands: make(chan func()),
		ctx:      ctx,
		cancel:   cancel,
		renewNow: make(chan struct{}, 1),
	}
	membership.publishSnapshot()
	membership.start(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case command := <-membership.commands:
				command()
			}
		}
	})
	membership.start(membership.renewLoop)
	membership.start(membership.watchLoop)
	membership.start(membership.listLoop)
	if config.Prober != nil {
		membership.start(membership.probeLoop)
	}
	if config.VMs != nil {
		membership.start(membership.vmLoop)
	}
	return membership
}

// start runs a closure until Close.
func (membership *Membership) start(run func()) {
	membership.running.Add(1)
	go func() {
		defer membership.running.Done()
		run()
	}()
}

// Members returns self and all routers that are not dead, by incarnation. The
// slice is shared and must not be changed.
func (membership *Membership) Members() []Member { return membership.latest.Load().members }

// Self returns what this router says of itself.
func (membership *Membership) Self() Member { return membership.latest.Load().self }

// LeavingVM reports whether the platform's list marks the VM of an address as
// leaving. The address is an IP number and port.
func (membership *Membership) IsVMLeaving(address string) bool {
	return listed(membership.latest.Load().leavingVMs, address)
}

// Report takes over what the router says of itself.
func (membership *Membership) Report(report Report) {
	membership.do(func() {
		self := membership.roster.self
		self.Revision = report.Revision
		self.Load = report.Load
		self.State = reportedState(self.State, report)
		membership.roster.setSelf(self)
	})
}

// reportedState keeps a router that leaves or is dead as it is.
func reportedState(state State, report Report) State {
	switch {
	case state == Leaving || state == Dead:
		return state
	case report.Overloaded:
		return Overloaded
	default:
		return Live
	}
}

// Receive takes in a peer's message and returns the answer.
func (membership *Membership) Receive(message Message) Message {
	var answer Message
	membership.run(func() {
		membership.hear(message)
		answer = membership.roster.message()
	})
	membership.config.OnRevision(message.Sender.Revision)
	return answer
}

// Leave marks the router as leaving, in the table and with some peers at once.
// The others hear of it from those.
func (membership *Membership) Leave(ctx context.Context) error {
	membership.do(func() {
		self := membership.roster.self
		if self.State != Dead {
			membership.roster.setSelf(self.WithState(Leaving))
		}
	})
	membership.tellPeers(ctx)
	return membership.renew(ctx)
}

// Registered reports whether the router's row has been written. A router takes
// nothing that others would have to close before that.
func (membership *Membership) IsRegistered() bool {
	return membership.registered.Load()
}

// Deregister deletes the router's row. It is called after Leave when the
// router holds nothing more; without it the lease lapses, and other routers
// close what was held.
func (membership *Membership) Deregister(ctx context.Context) error {
	if err := membership.release(ctx); err != nil {
		return err
	}
	membership.do(func() {
		membership.roster.setSelf(membership.roster.self.WithState(Dead))
	})
	membership.tellPeers(ctx)
	membership.Close()
	return nil
}

// release deletes the row and ends renewals.
func (membership *Membership) release(ctx context.Context) error {
	membership.leaseMutex.Lock()
	defer membership.leaseMutex.Unlock()
	membership.lease.lost = true
	return membership.lease.release(ctx)
}

// Close stops all work. It leaves the row in the table.
func (membership *Membership) Close() {
	membership.cancel()
	membership.running.Wait()
}

// do runs a command that changes what traffic reads.
func (membership *Membership) do(command func()) {
	membership.run(func() {
		command()
		membership.publishSnapshot()
	})
}

// run runs a command on the control goroutine and waits for it. It does nothing
// after Close.
func (membership *Membership) run(command func()) {
	done := make(chan struct{})
	wrapped := func() {
		defer close(done)
		command()
	}
	select {
	case <-membership.ctx.Done():
	case membership.commands <- wrapped:
		<-done
	}
}

// hear takes in a message on the control goroutine. Load and revision of the
// sender alone don't make a new snapshot at once, which would be the greater
// part of a probe's cost in a large fleet.
func (membership *Membership) hear(message Message) {
	before := membership.roster.changes
	now := time.Now()
	membership.roster.hear(message, now)
	if membership.roster.changes != before || now.Sub(membership.latest.Load().at) > snapshotAge {
		membership.publishSnapshot()
	}
}

// publishSnapshot is called on the control goroutine.
func (membership *Membership) publishSnapshot() {
	membership.latest.Store(&snapshot{
		at:         time.Now(),
		self:       membership.roster.self,
		members:    membership.roster.members(),
		leavingVMs: maps.Clone(membership.roster.leavingVMs),
		busy:       maps.Clone(membership.roster.busy),
	})
}

// warn logs a failed step that will be tried again.
func (membership *Membership) warn(step string, err error) {
	_ = level.Warn(membership.config.Logger).Log("msg", "could not "+step, "err", err)
}

// pause waits for a time, spread by a quarter to both sides. It is false after
// Close.
func (membership *Membership) pause(duration time.Duration, wake <-chan struct{}) bool {
	spread := 0.75 + rand.Float64()/2
	timer := time.NewTimer(time.Duration(float64(duration) * spread))
	defer timer.Stop()
	select {
	case <-membership.ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-wake:
		return true
	}
}
