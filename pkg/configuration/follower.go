package configuration

// The flow of following: a goroutine polls the head revision of the table, or
// is woken by Hint when a peer knows a newer one. Missing records come from a
// peer or from the table, in order and without a gap, and become a new View.
// Nothing ever replaces a view by one of a lower revision.

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
	defaultPollInterval = 2 * time.Second
	defaultBehindLimit  = 5 * time.Second
	defaultHeldProfiles = 32768
	// recentRecords are kept to pass on to peers and to bring profiles that
	// were just read up to the view.
	recentRecords = 512
	// pageRecords is the greatest number of records of one read.
	pageRecords = 256
	// pollTimeout bounds one exchange with the table or a peer.
	pollTimeout = 2 * time.Second
	// pollJitter is the share of the interval by which polls are spread.
	pollJitter = 0.25
)

// Relay asks other routers for records while the table is out of reach, and
// saves reads of the table otherwise.
type Relay interface {
	// Records returns records behind a revision, in order, from any router
	// that has them. No records is no error.
	Records(ctx context.Context, after uint64) ([]Record, error)
	// Profile returns a profile as some router holds it. Nil is no error: no
	// router that was asked holds it.
	Profile(ctx context.Context, name string) (*ProfileCopy, error)
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Table platform.Table
	// Relay is optional.
	Relay  Relay
	Logger log.Logger
	// Interval is the mean time between polls of the table; zero means 2 s.
	PollInterval time.Duration
	// BehindLimit is how long the follower may know of a newer revision
	// without having it before it is no longer ready; zero means 5 s.
	MaxLag time.Duration
	// HeldProfiles bounds the profiles in memory; zero means 32768.
	MaxCachedProfiles int
}

// Follower keeps the view of one router up to date.
type Follower struct {
	table  platform.Table
	relay  Relay
	logger log.Logger
	config FollowerConfig

	view     atomic.Pointer[View]
	profiles *profileCache
	reads    singleflight.Group

	// mutex guards adoption: one record set is adopted at a time.
	mutex       sync.Mutex
	recent      []Record
	recentLimit int
	// adopted is closed and replaced at each adoption.
	adopted chan struct{}
	loaded  atomic.Bool

	// known is the highest revision that this router or a peer has seen.
	known       atomic.Uint64
	behindMutex sync.Mutex
	behindSince time.Time

	wake   chan struct{}
	cancel context.CancelFunc
	done   chan struct{}
}

// NewFollower returns a follower and starts to load the configuration.
func NewFollower(config FollowerConfig) *Follower {
	follower := newFollower(config)
	ctx, cancel := context.WithCancel(context.Background())
	follower.cancel = cancel
	go func() {
		defer close(follower.done)
		for ctx.Err() == nil {
			follower.poll(ctx)
			follower.pause(ctx)
		}
	}()
	return follower
}

// newFollower returns a follower that does not poll by itself.
func newFollower(config FollowerConfig) *Follower {
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	if config.PollInterval <= 0 {
		config.PollInterval = defaultPollInterval
	}
	if config.MaxLag <= 0 {
		config.MaxLag = defaultBehindLimit
	}
	if config.MaxCachedProfiles <= 0 {
		config.MaxCachedProfiles = defaultHeldProfiles
	}
	follower := &Follower{
		table:    config.Table,
		relay:    config.Relay,
		logger:   config.Logger,
		config:   config,
		profiles: newProfileCache(config.MaxCachedProfiles),
		adopted:  make(chan struct{}),

		recentLimit: recentRecords,
		wake:        make(chan struct{}, 1),
		cancel:      func() {},
		done:        make(chan struct{}),
	}
	follower.view.Store(newView(follower.profiles))
	return follower
}

// Close stops the follower. Its last view stays readable.
func (follower *Follower) Close() {
	follower.cancel()
	<-follower.done
}

// View returns the newest view.
func (follower *Follower) View() *View { return follower.view.Load() }

// Revision returns the revision of the newest view.
func (follower *Follower) Revision() uint64 { return follower.View().revision }

// Known returns the highest revision that this router has heard of.
func (follower *Follower) LatestKnownRevision() uint64 {
	return max(follower.known.Load(), follower.Revision())
}

// Ready reports whether the view may be served: it was confirmed by the table
// once, and the router has not known of a newer revision for longer than
// BehindLimit without getting it.
func (follower *Follower) Ready() bool {
	if !follower.loaded.Load() {
		return false
	}
	follower.behindMutex.Lock()
	defer follower.behindMutex.Unlock()
	return follower.behindSince.IsZero() || time.Since(follower.behindSince) < follower.config.MaxLag
}

// Hint tells that a peer has seen a revision. A newer one than the view's is
// fetched at once.
func (follower *Follower) Hint(revision uint64) {
	if revision <= follower.Revision() {
		return
	}
	follower.know(revision)
	select {
	case follower.wake <- struct{}{}:
	default:
	}
}

// Offer adopts records from a peer as far as they follow the view without a
// gap. Records are immutable once accepted, so it does not matter who passes
// them on. Others than the next ones are ignored.
func (follower *Follower) Offer(_ context.Context, records []Record) {
	if len(records) == 0 {
		return
	}
	if follower.loaded.Load() {
		if err := follower.adopt(records); err != nil {
			_ = level.Error(follower.logger).Log("msg", "records of a peer could not be adopted", "err", err)
		}
	}
	follower.Hint(records[len(records)-1].Revision)
}

// Recent returns records behind a revision for a peer, in order; none if the
// router no longer holds the one that follows it.
func (follower *Follower) RecentRecords(after uint64, limit int) []Record {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	start := slices.IndexFunc(follower.recent, func(record Record) bool { return record.Revision == after+1 })
	if start < 0 {
		return nil
	}
	end := min(len(follower.recent), start+limit)
	return slices.Clone(follower.recent[start:end])
}

// adopt makes a new view of the records that follow the present one.
func (follower *Follower) adopt(records []Record) error {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	view := follower.View()
	records = following(records, view.revision)
	if len(records) == 0 {
		return nil
	}
	next, err := view.with(records)
	if err != nil {
		return err
	}
	follower.recent = append(follower.recent, records...)
	if extra := len(follower.recent) - follower.recentLimit; extra > 0 {
		follower.recent = slices.Delete(follower.recent, 0, extra)
	}
	follower.install(next)
	return nil
}

// install makes a view the newest. The mutex is held.
func (follower *Follower) install(view *View) {
	follower.view.Store(view)
	close(follower.adopted)
	follower.adopted = make(chan struct{})
	follower.know(view.revision)
	_ = level.Debug(follower.logger).Log("msg", "adopted configuration", "revision", view.revision)
}

// following returns the part of the records that follows the revision without
// a gap. Records that the view already has are left out.
func following(records []Record, revision uint64) []Record {
	var next []Record
	for _, record := range records {
		if record.Revision <= revision {
			continue
		}
		if record.Revision != revision+1 {
			break
		}
		next = append(next, record)
		revision++
	}
	return next
}

// know notes the highest revision and since when the view is behind it.
func (follower *Follower) know(revision uint64) {
	follower.behindMutex.Lock()
	defer follower.behindMutex.Unlock()
	if revision > follower.known.Load() {
		follower.known.Store(revision)
	}
	if follower.known.Load() <= follower.Revision() {
		follower.behindSince = time.Time{}
		return
	}
	if follower.behindSince.IsZero() {
		follower.behindSince = time.Now()
	}
}

// confirm takes the table's head for the newest revision. What was heard before
// the head was read can't be above it, so a greater number was an error.
func (follower *Follower) confirm(heard, head uint64) {
	follower.behindMutex.Lock()
	if heard > head && follower.known.Load() == heard {
		follower.known.Store(head)
	}
	follower.behindMutex.Unlock()
	follower.know(head)
}

// pause waits for the next poll or a hint.
func (follower *Follower) pause(ctx context.Context) {
	spread := 1 - pollJitter + 2*pollJitter*rand.Float64()
	timer := time.NewTimer(time.Duration(float64(follower.config.PollInterval) * spread))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-follower.wake:
	}
}

// Await returns when the view has reached a revision or the context ends.
func (follower *Follower) AwaitRevision(ctx context.Context, revision uint64) {
	for {
		follower.mutex.Lock()
		adopted := follower.adopted
		follower.mutex.Unlock()
		if follower.Revision() >= revision {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-adopted:
		}
	}
}
