package memory

import (
	"context"
	"time"
)

// ShareConfig describes an answer.
type ShareConfig struct {
	// Kind is the name of the route or service that is answered. Answers of one kind
	// are of similar sizes.
	Kind string
	// Owner is the ID of the upstream.
	Owner string
}

// Share is what one answer holds of a Limiter. A nil Share has no limit. A Share is used
// by one goroutine at a time.
type Share struct {
	limiter *Limiter
	group   group
	// The limiter's mutex guards the fields below.
	held int64
	// complete is set when the answer has arrived whole since it last grew.
	complete bool
	// failed is set when the answer was given up, and failedBytes is what it held then.
	failed      bool
	failedBytes int64
	onGiveUp    func(err error)
}

// NewShare returns a share of which nothing is held yet. It must be released.
func (limiter *Limiter) NewShare(config ShareConfig) *Share {
	if limiter == nil {
		return nil
	}
	share := &Share{limiter: limiter, group: group{kind: config.Kind, owner: config.Owner}}
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.shares[share] = struct{}{}
	return share
}

// OnGiveUp sets the function that ends the exchange when the answer is given up.
func (share *Share) OnGiveUp(onGiveUp func(err error)) {
	if share == nil {
		return
	}
	share.limiter.mutex.Lock()
	defer share.limiter.mutex.Unlock()
	share.onGiveUp = onGiveUp
}

func (share *Share) cancel(err error) {
	share.limiter.mutex.Lock()
	onGiveUp := share.onGiveUp
	share.limiter.mutex.Unlock()
	if onGiveUp != nil {
		onGiveUp(err)
	}
}

func (share *Share) failure() error {
	return &GivenUpError{Kind: share.group.kind, Owner: share.group.owner}
}

// TryGrow adds bytes if that is possible without a wait.
func (share *Share) TryGrow(bytes int) bool {
	if share == nil {
		return true
	}
	limiter := share.limiter
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return share.tryGrow(int64(bytes))
}

// tryGrow is TryGrow for a caller that holds the limiter's mutex.
func (share *Share) tryGrow(bytes int64) bool {
	limiter := share.limiter
	excess := limiter.excessOf(share, bytes)
	fits := excess == 0 || len(limiter.line) == 0 && limiter.used+excess <= limiter.roomForAll() || limiter.reserveHolder == share
	if share.failed || share.held+bytes > limiter.config.Largest || !fits {
		return false
	}
	share.complete = false
	limiter.add(share, bytes)
	return true
}

// Grow adds bytes, and waits for room if necessary. The error is ErrTooLarge, a
// GivenUpError, or the cause of the context's end.
func (share *Share) Grow(ctx context.Context, bytes int) error {
	if share.TryGrow(bytes) {
		return nil
	}
	waiting, err := share.enterLine(int64(bytes))
	if err != nil {
		return err
	}
	select {
	case <-waiting.done:
		return waiting.err
	case <-ctx.Done():
		if share.limiter.leave(waiting) {
			return context.Cause(ctx)
		}
		return waiting.err
	}
}

// enterLine returns a waiter at the end of the line.
func (share *Share) enterLine(bytes int64) (*waiter, error) {
	limiter := share.limiter
	entered := &waiter{share: share, bytes: bytes, since: time.Now(), done: make(chan struct{})}
	var err error
	limiter.change(func() {
		switch {
		case share.failed:
			err = share.failure()
		case share.held+bytes > limiter.config.Largest:
			limiter.distrust(share.group, true)
			err = ErrTooLarge
		case share.tryGrow(bytes):
			close(entered.done)
		default:
			share.complete = false
			limiter.statistics.Waits++
			if len(limiter.line) == 0 {
				limiter.trialTimer.Reset(limiter.config.TrialPeriod / trialChecks)
			}
			limiter.line = append(limiter.line, entered)
		}
	})
	return entered, err
}

// Complete records that the answer has arrived whole. What it holds is the size of an
// answer of its kind.
func (share *Share) Complete() {
	if share == nil {
		return
	}
	limiter := share.limiter
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	share.complete = true
	if !limiter.distrusted[share.group].proven {
		delete(limiter.distrusted, share.group)
	}
	limiter.largest[share.group.kind] = max(limiter.largest[share.group.kind], share.held)
}

// Endless records that the answer was larger than its limit.
func (share *Share) Endless() {
	if share == nil {
		return
	}
	share.limiter.change(func() { share.limiter.distrust(share.group, true) })
}

// Shrink gives back bytes.
func (share *Share) Shrink(bytes int) {
	if share == nil || bytes == 0 {
		return
	}
	share.limiter.change(func() { share.shrink(int64(bytes)) })
}

func (share *Share) shrink(bytes int64) {
	limiter := share.limiter
	limiter.add(share, -bytes)
	if limiter.reserveHolder == share && share.held <= limiter.config.Floor {
		limiter.reserveHolder = nil
	}
}

// Release gives back everything. It may be called more than once.
func (share *Share) Release() {
	if share == nil {
		return
	}
	share.limiter.change(func() {
		share.shrink(share.held)
		delete(share.limiter.shares, share)
	})
}
