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
	pausingListener := &pausingListener{
		address: listener.Addr(), overloaded: overloaded, closed: make(chan struct{}), listener: listener, reopened: make(chan struct{}),
	}
	go func() {
		ticker := time.NewTicker(pauseCheckInterval)
		defer ticker.Stop()
		pauses := congestion.Pauses{}
		for {
			select {
			case <-pausingListener.closed:
				return
			case now := <-ticker.C:
				pausingListener.setPaused(pauses.Update(pausingListener.overloaded(), now))
			}
		}
	}()
	return pausingListener, nil
}

// setPaused closes or opens the socket. If it can't be opened, the next call tries
// again.
func (pausingListener *pausingListener) setPaused(paused bool) {
	pausingListener.mutex.Lock()
	defer pausingListener.mutex.Unlock()
	switch {
	case paused && pausingListener.listener != nil:
		_ = pausingListener.listener.Close() // fails only if Close was called, too
		pausingListener.listener = nil
	case !paused && pausingListener.listener == nil && !pausingListener.isClosed():
		listener, err := net.Listen(pausingListener.address.Network(), pausingListener.address.String())
		if err != nil {
			logging.Error("listening again on %s failed: %v", pausingListener.address, err)
			return
		}
		pausingListener.listener = listener
		close(pausingListener.reopened)
		pausingListener.reopened = make(chan struct{})
	}
}

// current returns the open listener, or nil and a channel that is closed when
// there is one.
func (pausingListener *pausingListener) current() (net.Listener, <-chan struct{}) {
	pausingListener.mutex.Lock()
	defer pausingListener.mutex.Unlock()
	return pausingListener.listener, pausingListener.reopened
}

func (pausingListener *pausingListener) isClosed() bool {
	select {
	case <-pausingListener.closed:
		return true
	default:
		return false
	}
}

// Accept returns the next connection. It waits during a pause.
func (pausingListener *pausingListener) Accept() (net.Conn, error) {
	for {
		listener, reopened := pausingListener.current()
		if listener == nil {
			select {
			case <-pausingListener.closed:
				return nil, net.ErrClosed
			case <-reopened:
			}
			continue
		}
		connection, err := listener.Accept()
		if err == nil || !errors.Is(err, net.ErrClosed) || pausingListener.isClosed() {
			return connection, err
		}
	}
}

// Close closes the listener for good. It returns net.ErrClosed if it is closed
// already.
func (pausingListener *pausingListener) Close() error {
	err := net.ErrClosed
	pausingListener.closeOnce.Do(func() {
		close(pausingListener.closed)
		err = nil
		if listener, _ := pausingListener.current(); listener != nil {
			err = listener.Close()
		}
	})
	return err
}

// Addr returns the address of the listener.
func (pausingListener *pausingListener) Addr() net.Addr { return pausingListener.address }
