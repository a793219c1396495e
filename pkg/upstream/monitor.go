package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"gitlab.com/wisterialb/wisterialb/pkg/exchange"
)

// MonitorConfig configures a Monitor.
type MonitorConfig struct {
	// Pools returns the pools to look after.
	Pools  func() []*Pool
	Logger log.Logger
	// Interval is the time between two polls of one upstream.
	PollInterval time.Duration
	// Rate bounds the polls and probes of all pools, in requests a second.
	PollRate float64
	// Changed is called after the limits of a pool may have risen.
	OnChange func(pool *Pool)
}

// Defaults of MonitorConfig.
const (
	defaultPollInterval = 500 * time.Millisecond
	defaultPollRate     = 25.0
)

const (
	// usedWithin is how long an upstream is polled after its last attempt.
	usedWithin = 30 * time.Second
	// concurrentPolls bounds the polls that run at once.
	concurrentPolls = 16
	// ticksPerInterval is how often due members are looked for.
	ticksPerInterval = 4
)

// Monitor polls the load reports of upstreams in use and probes ejected ones.
type Monitor struct {
	config  MonitorConfig
	limiter *rate.Limiter
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// NewMonitor returns a running monitor.
func NewMonitor(config MonitorConfig) *Monitor {
	if config.PollInterval <= 0 {
		config.PollInterval = defaultPollInterval
	}
	if config.PollRate <= 0 {
		config.PollRate = defaultPollRate
	}
	ctx, cancel := context.WithCancel(context.Background())
	monitor := &Monitor{config: config, limiter: rate.NewLimiter(rate.Limit(config.PollRate), concurrentPolls), cancel: cancel}
	monitor.done.Go(func() {
		ticker := time.NewTicker(config.PollInterval / ticksPerInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				monitor.tick(ctx)
			}
		}
	})
	return monitor
}

// Close stops the monitor and waits for it.
func (monitor *Monitor) Close() {
	monitor.cancel()
	monitor.done.Wait()
}

// tick polls and probes what is due, as far as the rate allows.
func (monitor *Monitor) tick(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(concurrentPolls)
	for _, pool := range monitor.config.Pools() {
		pool.reconsider()
		for _, check := range pool.due(monitor.config.PollInterval) {
			if !monitor.limiter.Allow() {
				break
			}
			group.Go(func() error {
				monitor.check(ctx, pool, check)
				return nil
			})
		}
	}
	_ = group.Wait()
}

// due is a member to be looked at.
type due struct {
	member *Member
	probe  bool
}

// due returns the members to be polled or probed now, and marks them polled.
func (pool *Pool) due(interval time.Duration) []due {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.config.Now()
	var found []due
	for _, member := range pool.members {
		switch {
		case member.ejected:
			if now.After(member.probeAt) {
				member.probeAt = now.Add(member.probes.NextBackOff())
				found = append(found, due{member: member, probe: true})
			}
		case now.Sub(member.polledAt) >= interval && now.Sub(member.usedAt) < usedWithin:
			member.polledAt = now
			found = append(found, due{member: member})
		}
	}
	return found
}

func (monitor *Monitor) check(ctx context.Context, pool *Pool, check due) {
	if check.probe {
		monitor.probe(ctx, pool, check.member)
	} else {
		monitor.poll(ctx, pool, check.member)
	}
	if monitor.config.OnChange != nil {
		monitor.config.OnChange(pool)
	}
}

// probe asks an ejected member for its health and returns it when it is well.
func (monitor *Monitor) probe(ctx context.Context, pool *Pool, member *Member) {
	if !member.breaker.TryAcquirePermit() {
		return
	}
	err := member.client.CheckHealth(ctx)
	verdict := Success
	if err != nil {
		verdict = Failure
		member.client.ReplaceTransport()
	}
	pool.mutex.Lock()
	pool.judge(member, verdict)
	pool.mutex.Unlock()
	_ = monitor.config.Logger.Log("event", "upstream_probed", "upstream", member.address, "err", err)
}

// poll reads a member's load report. An upstream that has none isn't at fault.
// After a timeout no pooled connection is used again.
func (monitor *Monitor) poll(ctx context.Context, pool *Pool, member *Member) {
	own := pool.inFlight(member)
	report, err := member.client.LoadReport(ctx)
	if err == nil {
		pool.Observe(member, report, own)
		return
	}
	var status *exchange.StatusError
	if ctx.Err() != nil || errors.Is(err, exchange.ErrUnknownAttempt) || errors.As(err, &status) {
		return
	}
	if errors.Is(err, context.DeadlineExceeded) {
		member.client.ReplaceTransport()
	}
	pool.mutex.Lock()
	pool.judge(member, Failure)
	pool.mutex.Unlock()
}

func (pool *Pool) inFlight(member *Member) int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return member.inFlight
}

// Observe takes in a load report. Own is the router's attempts when it was asked for.
func (pool *Pool) Observe(member *Member, load exchange.LoadReport, own int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.config.Now()
	age := time.Duration(load.AgeMS) * time.Millisecond
	member.report = report{LoadReport: load, at: now.Add(-age), own: own}
	pool.set.place(member, now)
}

// reconsider takes back members that the VM list no longer marks as leaving and
// files all members anew, since load reports lose weight as they age.
func (pool *Pool) reconsider() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.sync()
	returned := false
	for _, member := range pool.members {
		if member.leaving && !pool.config.Leaving(member.address) {
			member.leaving = false
			returned = true
		}
	}
	if returned {
		pool.rebuild()
		return
	}
	now := pool.config.Now()
	for _, member := range pool.set.eligible {
		if member.filing.load > 0 {
			pool.set.place(member, now)
		}
	}
}
