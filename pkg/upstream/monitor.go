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
	// Pools returns the pools whose members are polled and probed.
	Pools func() []*Pool
	// Logger receives one line per probe. It must not be nil.
	Logger log.Logger
	// PollInterval is the time between two polls of one upstream; zero means
	// 500 ms.
	PollInterval time.Duration
	// PollsPerSecond limits the total rate of polls and probes of all pools; zero
	// means 25.
	PollsPerSecond float64
	// OnChange is called after each poll or probe of a pool's member, since the
	// limits of the pool may have risen; nil means no call.
	OnChange func(pool *Pool)
}

// Defaults of MonitorConfig.
const (
	defaultPollInterval = 500 * time.Millisecond
	defaultPollRate     = 25.0
)

const (
	// pollAfterLastUse is how long an upstream is polled after its last attempt
	// started or ended.
	pollAfterLastUse = 30 * time.Second
	// maxConcurrentPolls limits concurrent polls and probes, and is the burst of
	// the rate limiter.
	maxConcurrentPolls = 16
	// ticksPerPollInterval is the number of checks for due members per poll
	// interval.
	ticksPerPollInterval = 4
)

// Monitor polls the load reports of upstreams in use and probes the health of
// ejected upstreams.
type Monitor struct {
	config      MonitorConfig
	rateLimiter *rate.Limiter
	cancel      context.CancelFunc
	done        sync.WaitGroup
}

// NewMonitor starts a monitor, which runs until Close.
func NewMonitor(config MonitorConfig) *Monitor {
	if config.PollInterval <= 0 {
		config.PollInterval = defaultPollInterval
	}
	if config.PollsPerSecond <= 0 {
		config.PollsPerSecond = defaultPollRate
	}
	ctx, cancel := context.WithCancel(context.Background())
	monitor := &Monitor{config: config, rateLimiter: rate.NewLimiter(rate.Limit(config.PollsPerSecond), maxConcurrentPolls), cancel: cancel}
	monitor.done.Go(func() {
		ticker := time.NewTicker(config.PollInterval / ticksPerPollInterval)
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

// Close stops the monitor and waits until its goroutine has returned.
func (monitor *Monitor) Close() {
	monitor.cancel()
	monitor.done.Wait()
}

// tick polls and probes the members that are due, within the rate limit, and
// waits for the results.
func (monitor *Monitor) tick(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentPolls)
	for _, pool := range monitor.config.Pools() {
		if pool.refresh() && monitor.config.OnChange != nil {
			monitor.config.OnChange(pool)
		}
		for _, check := range pool.dueChecks(monitor.config.PollInterval) {
			if !monitor.rateLimiter.Allow() {
				break
			}
			group.Go(func() error {
				monitor.runCheck(ctx, pool, check)
				return nil
			})
		}
	}
	_ = group.Wait()
}

// memberCheck is a member to poll, or to probe if it is ejected or says that it is
// leaving.
type memberCheck struct {
	member *Member
	probe  bool
}

// dueChecks returns the members to poll or probe now and sets the time of their
// next poll or probe.
func (pool *Pool) dueChecks(interval time.Duration) []memberCheck {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.config.Now()
	var checks []memberCheck
	for _, member := range pool.members {
		notice := pool.noticeOf(member.address)
		switch {
		case notice.IsPaused(now):
		case member.ejected, notice.IsLeaving():
			if now.After(member.nextProbeAt) {
				member.nextProbeAt = now.Add(member.probeBackoff.NextBackOff())
				checks = append(checks, memberCheck{member: member, probe: true})
			}
		case now.Sub(member.lastPolledAt) >= interval && now.Sub(member.lastUsedAt) < pollAfterLastUse:
			member.lastPolledAt = now
			checks = append(checks, memberCheck{member: member})
		}
	}
	return checks
}

func (monitor *Monitor) runCheck(ctx context.Context, pool *Pool, check memberCheck) {
	if check.probe {
		monitor.probe(ctx, pool, check.member)
	} else {
		monitor.poll(ctx, pool, check.member)
	}
	if monitor.config.OnChange != nil {
		monitor.config.OnChange(pool)
	}
}

// probe sends a health check to a member and ends its ejection if the check succeeds.
func (monitor *Monitor) probe(ctx context.Context, pool *Pool, member *Member) {
	if !member.breaker.TryAcquirePermit() {
		return
	}
	probedAt := pool.config.Now()
	leaving, err := member.client.CheckHealth(ctx)
	result := Success
	if err != nil {
		result = Failure
		member.client.ReplaceTransport()
	}
	pool.mutex.Lock()
	pool.recordResult(member, result)
	pool.mutex.Unlock()
	if err == nil && !leaving {
		pool.forgetLeaving(member, probedAt)
	}
	_ = monitor.config.Logger.Log("event", "upstream_probed", "upstream", member.address, "err", err)
}

// poll reads a member's load report. An upstream that answers without a report is
// not treated as failed. After a timeout the pooled connections are replaced,
// since they may no longer deliver data.
func (monitor *Monitor) poll(ctx context.Context, pool *Pool, member *Member) {
	ownAttempts := pool.inFlight(member)
	report, err := member.client.LoadReport(ctx)
	if err == nil {
		if !report.IsPlausible() {
			_ = monitor.config.Logger.Log("event", "load_report_implausible", "upstream", member.address, "running", report.Running,
				"waiting", report.Waiting, "capacity", report.Capacity, "age_ms", report.AgeMS)
			return
		}
		pool.ObserveLoad(member, report, ownAttempts)
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
	pool.recordResult(member, Failure)
	pool.mutex.Unlock()
}

// inFlight returns the number of this router's attempts at the member.
func (pool *Pool) inFlight(member *Member) int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return member.inFlight
}

// ObserveLoad records a load report of the member. ownAttempts is the number of
// this router's attempts in flight when the report was requested.
func (pool *Pool) ObserveLoad(member *Member, report exchange.LoadReport, ownAttempts int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	now := pool.config.Now()
	age := time.Duration(report.AgeMS) * time.Millisecond
	member.observedLoad = observedLoad{LoadReport: report, measuredAt: now.Add(-age), ownAttempts: ownAttempts}
	pool.memberSet.update(member, now)
}

// refresh readmits members that the VM list no longer marks as leaving. It updates
// the entries of all members with load, since the weight of load reports decays. It
// reports whether a pause has ended.
func (pool *Pool) refresh() bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.syncMembers()
	pauseEnded := pool.endPauses()
	anyReadmitted := false
	for _, member := range pool.members {
		if member.leaving && !pool.config.IsLeaving(member.address) {
			member.leaving = false
			anyReadmitted = true
		}
	}
	if anyReadmitted {
		pool.rebuild()
		return pauseEnded
	}
	now := pool.config.Now()
	for _, member := range pool.memberSet.eligible {
		if member.setEntry.load > 0 {
			pool.memberSet.update(member, now)
		}
	}
	return pauseEnded
}
