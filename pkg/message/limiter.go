// Package message limits the memory for messages that other processes send: the size of
// one, and how many large ones are read at once.
//
// Limiter has the limits, and Transport applies them to the responses of an HTTP client.
// Conn keeps a response that was cut off from being taken for a whole one.
package message

import (
	"context"
	"fmt"
	"io"
	"sync"

	"golang.org/x/sync/semaphore"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const (
	// DefaultSmallBytes is the size up to which messages are small. Most have less than
	// 1 KB.
	DefaultSmallBytes = 16 << 10
	// DefaultMaxLarge is how many large messages may be read at once.
	DefaultMaxLarge = 2
)

// Config configures a Limiter.
type Config struct {
	// MaxBytes limits the size of one message.
	MaxBytes int64
	// SmallBytes is the size up to which a message is read at once; zero means
	// DefaultSmallBytes.
	SmallBytes int64
	// MaxLarge is how many messages may be larger than SmallBytes at the same time;
	// the others wait. Zero means DefaultMaxLarge.
	MaxLarge int64
}

// Limiter limits the messages of one kind. It is safe for concurrent use.
type Limiter struct {
	config Config
	large  *semaphore.Weighted
}

// NewLimiter returns a limiter.
func NewLimiter(config Config) *Limiter {
	if config.SmallBytes <= 0 {
		config.SmallBytes = DefaultSmallBytes
	}
	if config.MaxLarge <= 0 {
		config.MaxLarge = DefaultMaxLarge
	}
	return &Limiter{config: config, large: semaphore.NewWeighted(config.MaxLarge)}
}

// Limit returns a reader of a message. Where the message is larger than MaxBytes, reading
// fails with fault.TooLarge, which names the sender. A large message counts as read until
// it is closed; the context ends the wait for others.
func (limiter *Limiter) Limit(ctx context.Context, sender string, message io.ReadCloser) io.ReadCloser {
	return &limitedMessage{ReadCloser: message, ctx: ctx, limiter: limiter, sender: sender}
}

// limitedMessage is one message. It isn't safe for concurrent use, except for Close.
type limitedMessage struct {
	io.ReadCloser
	ctx     context.Context
	limiter *Limiter
	sender  string
	// readBytes is the size of what was read.
	readBytes int64

	mutex sync.Mutex
	// isLarge is set while the message counts as a large one, and closed at the end.
	isLarge, closed bool
}

// Read reads a part of the message.
func (limitedMessage *limitedMessage) Read(buffer []byte) (int, error) {
	config := limitedMessage.limiter.config
	if limitedMessage.readBytes >= config.SmallBytes {
		if err := limitedMessage.becomeLarge(); err != nil {
			return 0, err
		}
	} else if left := config.SmallBytes - limitedMessage.readBytes; int64(len(buffer)) > left {
		buffer = buffer[:left]
	}
	// One byte more than the limit shows that the message is larger.
	if left := config.MaxBytes + 1 - limitedMessage.readBytes; int64(len(buffer)) > left {
		buffer = buffer[:left]
	}
	count, err := limitedMessage.ReadCloser.Read(buffer)
	limitedMessage.readBytes += int64(count)
	if limitedMessage.readBytes > config.MaxBytes {
		limitedMessage.readBytes = config.MaxBytes
		return 0, tooLargeError(limitedMessage.sender, config.MaxBytes)
	}
	return count, err
}

// becomeLarge waits until the message may be a large one.
func (limitedMessage *limitedMessage) becomeLarge() error {
	limitedMessage.mutex.Lock()
	isLarge := limitedMessage.isLarge
	limitedMessage.mutex.Unlock()
	if isLarge {
		return nil
	}
	if err := limitedMessage.limiter.large.Acquire(limitedMessage.ctx, 1); err != nil {
		return err
	}
	limitedMessage.mutex.Lock()
	defer limitedMessage.mutex.Unlock()
	if limitedMessage.closed {
		limitedMessage.limiter.large.Release(1)
		return io.ErrClosedPipe
	}
	limitedMessage.isLarge = true
	return nil
}

// Close closes the message, which counts no more.
func (limitedMessage *limitedMessage) Close() error {
	err := limitedMessage.ReadCloser.Close()
	limitedMessage.mutex.Lock()
	defer limitedMessage.mutex.Unlock()
	if limitedMessage.isLarge {
		limitedMessage.limiter.large.Release(1)
	}
	limitedMessage.isLarge, limitedMessage.closed = false, true
	return err
}

func tooLargeError(sender string, maxBytes int64) error {
	return fault.New(fault.Config{
		Kind:    fault.TooLarge,
		Message: fmt.Sprintf("the message of %s has more than %d bytes", sender, maxBytes),
		Remedy:  "check the process at that address, or ask for fewer entries at once",
		Outcome: fault.OutcomeUnknown,
	})
}
