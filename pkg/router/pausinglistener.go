package router

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio/logging"

	"gitlab.com/wisterialb/wisterialb/pkg/congestion"
)

// pauseCheckInterval is the interval between checks for an overload.
const pauseCheckInterval = 50 * time.Millisecond

// pausingListener is a listener that closes its socket for a while when the router
// is overloaded. The kernel then refuses connections.
type pausingListener struct {
	address    net.Addr
	overloaded func() bool
	closed     chan struct{}
	closeOnce  sync.Once

	mutex sync.Mutex
	// listener is nil during a pause.
	listener net.Listener
	// reopened is closed and replaced at the end of a pause.
	reopened chan struct{}
}

// listen opens a listener. It starts a goroutine that ends when the listener is
// closed.
func listen(network, address string, overloaded func() bool) (*pausingListener, error) {
	listener, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	pausing := &pausingListener{
		address: listener.Addr(), overloaded: overloaded, closed: make(chan struct{}), listener: listener, reopened: make(chan struct{}),
	}
	go func() {
		ticker := time.NewTicker(pauseCheckInterval)
		defer ticker.Stop()
		pauses := congestion.Pauses{}
		for {
			select {
			case <-pausing.closed:
				return
			case now := <-ticker.C:
				pausing.setPaused(pauses.Update(pausing.overloaded(), now))
			}
		}
	}()
	return pausing, nil
}

// setPaused closes or opens the socket. If it can't be opened, the next call tries
// again.
func (pausing *pausingListener) setPaused(paused bool) {
	pausing.mutex.Lock()
	defer pausing.mutex.Unlock()
	switch {
	case paused && pausing.listener != nil:
		_ = pausing.listener.Close() // fails only if Close was called, too
		pausing.listener = nil
	case !paused && pausing.listener == nil && !pausing.isClosed():
		listener, err := net.Listen(pausing.address.Network(), pausing.address.String())
		if err != nil {
			logging.Error("listening again on %s failed: %v", pausing.address, err)
			return
		}
		pausing.listener = listener
		close(pausing.reopened)
		pausing.reopened = make(chan struct{})
	}
}

// current returns the open listener, or nil and a channel that is closed when
// there is one.
func (pausing *pausingListener) current() (net.Listener, <-chan struct{}) {
	pausing.mutex.Lock()
	defer pausing.mutex.Unlock()
	return pausing.listener, pausing.reopened
}

func (pausing *pausingListener) isClosed() bool {
	select {
	case <-pausing.closed:
		return true
	default:
		return false
	}
}

// Accept returns the next connection. It waits during a pause.
func (pausing *pausingListener) Accept() (net.Conn, error) {
	for {
		listener, reopened := pausing.current()
		if listener == nil {
			select {
			case <-pausing.closed:
				return nil, net.ErrClosed
			case <-reopened:
			}
			continue
		}
		connection, err := listener.Accept()
		if err == nil || !errors.Is(err, net.ErrClosed) || pausing.isClosed() {
			return connection, err
		}
	}
}

// Close closes the listener for good. It returns net.ErrClosed if it is closed
// already.
func (pausing *pausingListener) Close() error {
	err := net.ErrClosed
	pausing.closeOnce.Do(func() {
		close(pausing.closed)
		err = nil
		if listener, _ := pausing.current(); listener != nil {
			err = listener.Close()
		}
	})
	return err
}

// Addr returns the address of the listener.
func (pausing *pausingListener) Addr() net.Addr { return pausing.address }
