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
	// maxSnapshotAge is how old a snapshot may be before any received message
	// replaces it, so it limits how stale the load and revision of others get.
	maxSnapshotAge = time.Second
)

// MembershipConfig configures a Membership.
type MembershipConfig struct {
	Table platform.Table
	// VMs is the platform's VM list; nil means that there is none.
	VMs platform.VMList
	// Prober sends messages to other routers; nil means that there are none.
	Prober Prober
	// Self is this router. Its incarnation must be unique to each start of the
	// process.
	Self   Member
	Logger log.Logger
	// LeaseDuration is how long a watcher must see a lease unchanged before it
	// may declare the holder dead; zero means 30 s.
	LeaseDuration time.Duration
	// ProbeInterval is the time between probes; zero means 500 ms.
	ProbeInterval time.Duration
	// ProbeTimeout is the time limit of one probe; zero means 1 s.
	ProbeTimeout time.Duration
	// OnDead closes a dead incarnation: it charges the tokens that the
	// incarnation still held. It may be called more than once, and by several
	// routers, for one incarnation, so it must be idempotent. After an error it
	// is called again.
	OnDead func(ctx context.Context, incarnation string) error
	// OnRevision is called with the sender's configuration revision for each
	// message from a peer.
	OnRevision func(revision uint64)
	// OnFenced is called once if other routers declared this router dead. The
	// process should then exit and restart as a new incarnation.
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

// snapshot is an immutable copy of the control state for concurrent readers.
type snapshot struct {
	takenAt      time.Time
	self         Member
	members      []Member
	leavingVMs   map[string]time.Time
	busyProfiles map[string]busyEntry
}

// Membership keeps this router registered in the fleet and tracks the other
// members. One goroutine, the control goroutine, owns the mutable state; the
// request path reads snapshots of it without locking.
type Membership struct {
	config MembershipConfig
	roster *roster

	// leaseMutex serializes renewals and guards lease.
	leaseMutex sync.Mutex
	lease      *lease
	// registered is set once the lease row has been written.
	registered atomic.Bool

	commands       chan func()
	latestSnapshot atomic.Pointer[snapshot]
	ctx            context.Context
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup
	renewNow       chan struct{}
}

// NewMembership starts to register the router and to track the others. Call
// Close or Deregister to stop it.
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
	membership.startGoroutine(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case command := <-membership.commands:
				command()
			}
		}
	})
	membership.startGoroutine(membership.renewLoop)
	membership.startGoroutine(membership.watchLoop)
	membership.startGoroutine(membership.leaseListLoop)
	if config.Prober != nil {
		membership.startGoroutine(membership.probeLoop)
	}
	if config.VMs != nil {
		membership.startGoroutine(membership.vmListLoop)
	}
	return membership
}

// startGoroutine runs a function on a goroutine that Close waits for.
func (membership *Membership) startGoroutine(body func()) {
	membership.goroutines.Add(1)
	go func() {
		defer membership.goroutines.Done()
		body()
	}()
}

// Members returns this router and all others that are not dead, sorted by
// incarnation. The slice is shared and must not be changed.
func (membership *Membership) Members() []Member { return membership.latestSnapshot.Load().members }

// Self returns this router's own member entry.
func (membership *Membership) Self() Member { return membership.latestSnapshot.Load().self }

// IsVMLeaving reports whether the platform's VM list marks the VM at an address
// as leaving. The address is an IP address and port.
func (membership *Membership) IsVMLeaving(address string) bool {
	return containsAddress(membership.latestSnapshot.Load().leavingVMs, address)
}

// Report updates the revision, load and state that this router publishes.
func (membership *Membership) Report(report Report) {
	membership.update(func() {
		self := membership.roster.self
		self.Revision = report.Revision
		self.Load = report.Load
		self.State = nextState(self.State, report)
		membership.roster.setSelf(self)
	})
}

// nextState returns the state after a report, which never changes Leaving or Dead.
func nextState(state State, report Report) State {
	switch {
	case state == Leaving || state == Dead:
		return state
	case report.Overloaded:
		return Overloaded
	default:
		return Live
	}
}

// Receive applies a peer's message and returns the response.
func (membership *Membership) Receive(message Message) Message {
	var response Message
	membership.runControl(func() {
		membership.receive(message)
		response = membership.roster.buildMessage()
	})
	membership.config.OnRevision(message.Sender.Revision)
	return response
}

// Leave marks the router as leaving and notifies a few peers directly; gossip
// reaches the others. It then writes the new state to the lease row, and returns
// the error of that write.
func (membership *Membership) Leave(ctx context.Context) error {
	membership.update(func() {
		self := membership.roster.self
		if self.State != Dead {
			membership.roster.setSelf(self.WithState(Leaving))
		}
	})
	membership.notifyPeers(ctx)
	return membership.renew(ctx)
}

// IsRegistered reports whether the router's lease row has been written. Before
// that, a router must not hold any tokens, because no watcher would detect its
// death and charge them.
func (membership *Membership) IsRegistered() bool {
	return membership.registered.Load()
}

// Deregister deletes the router's lease row, notifies a few peers and closes the
// membership. Call it after Leave, once the router holds no tokens. Without it
// the lease expires, and other routers declare the incarnation dead and call
// OnDead for it. On an error the row may still exist, renewals have stopped, and
// the membership is not closed.
func (membership *Membership) Deregister(ctx context.Context) error {
	if err := membership.release(ctx); err != nil {
		return err
	}
	membership.update(func() {
		membership.roster.setSelf(membership.roster.self.WithState(Dead))
	})
	membership.notifyPeers(ctx)
	membership.Close()
	return nil
}

// release stops renewals and deletes the lease row.
func (membership *Membership) release(ctx context.Context) error {
	membership.leaseMutex.Lock()
	defer membership.leaseMutex.Unlock()
	membership.lease.ended = true
	return membership.lease.release(ctx)
}

// Close stops all goroutines. It leaves the lease row in the table.
func (membership *Membership) Close() {
	membership.cancel()
	membership.goroutines.Wait()
}

// update runs a command on the control goroutine and publishes a new snapshot.
func (membership *Membership) update(command func()) {
	membership.runControl(func() {
		command()
		membership.publishSnapshot()
	})
}

// runControl runs a command on the control goroutine and waits for it. After
// Close it does nothing.
func (membership *Membership) runControl(command func()) {
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

// receive applies a message; it must run on the control goroutine. A change of
// only the sender's load and revision does not publish a new snapshot at once:
// that would be most of a probe's cost in a large fleet.
func (membership *Membership) receive(message Message) {
	previousChanges := membership.roster.changeCount
	now := time.Now()
	membership.roster.receive(message, now)
	if membership.roster.changeCount != previousChanges || now.Sub(membership.latestSnapshot.Load().takenAt) > maxSnapshotAge {
		membership.publishSnapshot()
	}
}

// publishSnapshot must run on the control goroutine.
func (membership *Membership) publishSnapshot() {
	membership.latestSnapshot.Store(&snapshot{
		takenAt:      time.Now(),
		self:         membership.roster.self,
		members:      membership.roster.members(),
		leavingVMs:   maps.Clone(membership.roster.leavingVMs),
		busyProfiles: maps.Clone(membership.roster.busyProfiles),
	})
}

// warn logs a failed step that will be retried.
func (membership *Membership) warn(step string, err error) {
	_ = level.Warn(membership.config.Logger).Log("msg", "could not "+step, "err", err)
}

// waitJittered waits for a duration with a random jitter of up to 25 % either
// way, or until wake receives a value. It returns false after Close.
func (membership *Membership) waitJittered(duration time.Duration, wake <-chan struct{}) bool {
	jitter := 0.75 + rand.Float64()/2
	timer := time.NewTimer(time.Duration(float64(duration) * jitter))
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
