package configuration

// A goroutine polls the table for its newest revision (the head), at an interval
// or at once when Hint reports that a peer has a newer one. It fetches the
// missing records from a peer or from the table and applies them in order and
// without a gap, which makes a new View. A view is never replaced by one with a
// lower revision.

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/singleflight"

	"gitlab.com/wisterialb/wisterialb/pkg/platform"
)

// Defaults and bounds of a follower.
const (
	defaultPollInterval      = 2 * time.Second
	defaultMaxLag            = 5 * time.Second
	defaultMaxCachedProfiles = 32768
	// defaultMaxRecentRecords is the number of records in memory. They are sent to
	// peers, and are applied to a profile whose read returned after the view had
	// advanced.
	defaultMaxRecentRecords = 512
	// maxRecordsPerRead is the maximum number of records of one read of the table
	// or a peer.
	maxRecordsPerRead = 256
	// pollTimeout bounds one call of a poll to the table or a peer.
	pollTimeout = 2 * time.Second
	// pollJitter is the maximum random deviation from the poll interval, as a
	// fraction of it, so that routers don't poll at the same moment.
	pollJitter = 0.25
)

// PeerReader reads records and profiles from other routers, while the table is
// unreachable or to save reads of the table.
type PeerReader interface {
	// Records returns records after a revision, in order, from any router that
	// has them. It returns none and no error if the queried routers have none.
	// The error is usually fault.Unavailable, if no router answered.
	Records(ctx context.Context, after uint64) ([]Record, error)
	// Profile returns a profile from the cache of another router, or nil without
	// an error if none of the queried routers has it cached. The error is usually
	// fault.Unavailable, if no router answered.
	Profile(ctx context.Context, name string) (*ProfileCopy, error)
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Table platform.Table
	// PeerReader reads from other routers; nil reads from the table only.
	PeerReader PeerReader
	Logger     log.Logger
	// PollInterval is the mean time between polls of the table; zero means 2 s.
	PollInterval time.Duration
	// MaxLag is how long the view may be older than the newest known revision
	// before the follower is no longer ready; zero means 5 s.
	MaxLag time.Duration
	// MaxCachedProfiles is the maximum number of profiles in memory; zero means
	// 32768.
	MaxCachedProfiles int
}

// Follower keeps the configuration view of one router up to date.
type Follower struct {
	table platform.Table
	// polledTable is the same table for polls.
	polledTable *pagingTable
	peerReader  PeerReader
	logger      log.Logger
	config      FollowerConfig

	view         atomic.Pointer[View]
	profiles     *profileCache
	profileReads singleflight.Group

	// mutex guards recentRecords, viewChanged and the replacement of the view.
	mutex            sync.Mutex
	recentRecords    []Record
	maxRecentRecords int
	// viewChanged is closed and replaced each time the view is replaced.
	viewChanged chan struct{}
	loaded      atomic.Bool

	// latestKnown is the highest revision that this router has read from the
	// table or received from a peer.
	latestKnown atomic.Uint64
	lagMutex    sync.Mutex
	// lagStart is when latestKnown became higher than the view's revision; zero
	// while it is not.
	lagStart time.Time

	pollNow chan struct{}
	cancel  context.CancelFunc
	done    chan struct{}
}

// NewFollower starts a follower, which loads the configuration in the
// background. Close stops it.
func NewFollower(config FollowerConfig) *Follower {
	follower := newFollower(config)
	ctx, cancel := context.WithCancel(context.Background())
	follower.cancel = cancel
	go func() {
		defer close(follower.done)
		for ctx.Err() == nil {
			follower.poll(ctx)
			follower.waitForNextPoll(ctx)
		}
	}()
	return follower
}

// newFollower returns a follower without the goroutine that polls.
func newFollower(config FollowerConfig) *Follower {
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	if config.PollInterval <= 0 {
		config.PollInterval = defaultPollInterval
	}
	if config.MaxLag <= 0 {
		config.MaxLag = defaultMaxLag
	}
	if config.MaxCachedProfiles <= 0 {
		config.MaxCachedProfiles = defaultMaxCachedProfiles
	}
	follower := &Follower{
		table:       config.Table,
		polledTable: newPagingTable(config.Table, pollTimeout),
		peerReader:  config.PeerReader,
		logger:      config.Logger,
		config:      config,
		profiles:    newProfileCache(config.MaxCachedProfiles),
		viewChanged: make(chan struct{}),

		maxRecentRecords: defaultMaxRecentRecords,
		pollNow:          make(chan struct{}, 1),
		cancel:           func() {},
		done:             make(chan struct{}),
	}
	follower.view.Store(newView(follower.profiles))
	return follower
}

// Close stops the follower and waits until it has stopped. The last view stays
// readable.
func (follower *Follower) Close() {
	follower.cancel()
	<-follower.done
}

// View returns the current view. It is empty, with revision 0, until the
// configuration is loaded.
func (follower *Follower) View() *View { return follower.view.Load() }

// Revision returns the revision of the current view.
func (follower *Follower) Revision() uint64 { return follower.View().revision }

// LatestKnownRevision returns the highest revision that this router has read
// from the table or received from a peer.
func (follower *Follower) LatestKnownRevision() uint64 {
	return max(follower.latestKnown.Load(), follower.Revision())
}

// Ready reports whether requests may be served with the view: the configuration
// has been loaded from the table, and the view has been older than the newest
// known revision for less than MaxLag, or is not older.
func (follower *Follower) Ready() bool {
	if !follower.loaded.Load() {
		return false
	}
	follower.lagMutex.Lock()
	defer follower.lagMutex.Unlock()
	return follower.lagStart.IsZero() || time.Since(follower.lagStart) < follower.config.MaxLag
}

// Hint records that a peer has a revision. If it is newer than the view, the
// follower polls at once.
func (follower *Follower) Hint(revision uint64) {
	if revision <= follower.Revision() {
		return
	}
	follower.recordKnownRevision(revision)
	select {
	case follower.pollNow <- struct{}{}:
	default:
	}
}

// Offer adopts records from a peer as far as they continue the view without a
// gap, and ignores the others. Accepted records are immutable, so records from
// any peer are equal to those in the table.
func (follower *Follower) Offer(_ context.Context, records []Record) {
	if len(records) == 0 {
		return
	}
	if follower.loaded.Load() {
		if err := follower.adopt(records); err != nil {
			_ = level.Error(follower.logger).Log("msg", "could not adopt records from a peer", "err", err)
		}
	}
	follower.Hint(records[len(records)-1].Revision)
}

// RecentRecords returns records after a revision for a peer, in order. It
// returns none if the first of them is not, or no longer, in memory.
func (follower *Follower) RecentRecords(after uint64, limit int) []Record {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	start := slices.IndexFunc(follower.recentRecords, func(record Record) bool { return record.Revision == after+1 })
	if start < 0 {
		return nil
	}
	end := min(len(follower.recentRecords), start+limit)
	return slices.Clone(follower.recentRecords[start:end])
}

// adopt makes a new view from the records that continue the current one.
func (follower *Follower) adopt(records []Record) error {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	view := follower.View()
	records = contiguousRecords(records, view.revision)
	if len(records) == 0 {
		return nil
	}
	next, err := view.withRecords(records)
	if err != nil {
		return err
	}
	follower.recentRecords = append(follower.recentRecords, records...)
	if excess := len(follower.recentRecords) - follower.maxRecentRecords; excess > 0 {
		follower.recentRecords = slices.Delete(follower.recentRecords, 0, excess)
	}
	follower.install(next)
	return nil
}

// install replaces the current view. The caller must hold the mutex.
func (follower *Follower) install(view *View) {
	follower.view.Store(view)
	close(follower.viewChanged)
	follower.viewChanged = make(chan struct{})
	follower.recordKnownRevision(view.revision)
	_ = level.Debug(follower.logger).Log("msg", "adopted configuration", "revision", view.revision)
}

// contiguousRecords returns the records that continue the revision without a
// gap. It skips records up to the revision and stops at the first gap.
func contiguousRecords(records []Record, revision uint64) []Record {
	var contiguous []Record
	for _, record := range records {
		if record.Revision <= revision {
			continue
		}
		if record.Revision != revision+1 {
			break
		}
		contiguous = append(contiguous, record)
		revision++
	}
	return contiguous
}

// recordKnownRevision updates latestKnown and lagStart.
func (follower *Follower) recordKnownRevision(revision uint64) {
	follower.lagMutex.Lock()
	defer follower.lagMutex.Unlock()
	if revision > follower.latestKnown.Load() {
		follower.latestKnown.Store(revision)
	}
	if follower.latestKnown.Load() <= follower.Revision() {
		follower.lagStart = time.Time{}
		return
	}
	if follower.lagStart.IsZero() {
		follower.lagStart = time.Now()
	}
}

// confirmHead records the table's newest revision. knownBeforeRead is the value of
// latestKnown from before the head was read. It can't be higher than the head
// unless a peer sent a wrong revision, so a higher value is replaced by the head.
func (follower *Follower) confirmHead(knownBeforeRead, head uint64) {
	follower.lagMutex.Lock()
	if knownBeforeRead > head && follower.latestKnown.Load() == knownBeforeRead {
		follower.latestKnown.Store(head)
	}
	follower.lagMutex.Unlock()
	follower.recordKnownRevision(head)
}

// waitForNextPoll waits for the jittered poll interval or a hint.
func (follower *Follower) waitForNextPoll(ctx context.Context) {
	jitter := 1 - pollJitter + 2*pollJitter*rand.Float64()
	timer := time.NewTimer(time.Duration(float64(follower.config.PollInterval) * jitter))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-follower.pollNow:
	}
}

// AwaitRevision returns when the view has reached a revision or the context
// ends.
func (follower *Follower) AwaitRevision(ctx context.Context, revision uint64) {
	for {
		follower.mutex.Lock()
		viewChanged := follower.viewChanged
		follower.mutex.Unlock()
		if follower.Revision() >= revision {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-viewChanged:
		}
	}
}
