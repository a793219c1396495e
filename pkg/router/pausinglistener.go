package router

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/lesismal/nbio/logging"
	"golang.org/x/sys/unix"

	"gitlab.com/wisterialb/wisterialb/pkg/congestion"
)

// pauseCheckInterval is the interval between checks for an overload.
const pauseCheckInterval = 50 * time.Millisecond

// pausingListener is a listener that closes its socket for a while when the router
// is overloaded. The kernel then refuses connections. Those that it had opened before
// are accepted, as closing the socket resets them, with the requests they may carry.
type pausingListener struct {
	address    net.Addr
	overloaded func() bool
	closed     chan struct{}
	closeOnce  sync.Once

	mutex sync.Mutex
	// listener is nil during a pause.
	listener net.Listener
	// waiting are connections that were opened before a pause.
	waiting []net.Conn
	// changed is closed and replaced when listener or waiting have changed.
	changed chan struct{}
}

// listen opens a listener. It starts a goroutine that ends when the listener is
// closed.
func listen(network, address string, overloaded func() bool) (*pausingListener, error) {
	listener, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	pausingListener := &pausingListener{
		address: listener.Addr(), overloaded: overloaded, closed: make(chan struct{}), listener: listener, changed: make(chan struct{}),
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
		pausingListener.waiting = append(pausingListener.waiting, openedConnections(pausingListener.listener)...)
		_ = pausingListener.listener.Close() // fails only if Close was called, too
		pausingListener.listener = nil
	case !paused && pausingListener.listener == nil && !pausingListener.isClosed():
		listener, err := net.Listen(pausingListener.address.Network(), pausingListener.address.String())
		if err != nil {
			logging.Error("listening again on %s failed: %v", pausingListener.address, err)
			return
		}
		pausingListener.listener = listener
	default:
		return
	}
	close(pausingListener.changed)
	pausingListener.changed = make(chan struct{})
}

// openedConnections accepts the connections that the kernel has opened and nobody has
// accepted. It returns none if the listener isn't one of TCP.
func openedConnections(listener net.Listener) []net.Conn {
	tcpListener, ok := listener.(*net.TCPListener)
	if !ok {
		return nil
	}
	rawConn, err := tcpListener.SyscallConn()
	if err != nil {
		return nil
	}
	var connections []net.Conn
	_ = rawConn.Control(func(descriptor uintptr) { // fails only if the listener is closed
		for {
			accepted, _, err := unix.Accept4(int(descriptor), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if errors.Is(err, unix.EINTR) || errors.Is(err, unix.ECONNABORTED) {
				continue
			}
			if err != nil {
				return
			}
			if connection, err := connectionOf(accepted); err == nil {
				connections = append(connections, connection)
			}
		}
	})
	return connections
}

// connectionOf returns the connection of a socket's descriptor, which it takes over.
func connectionOf(descriptor int) (net.Conn, error) {
	file := os.NewFile(uintptr(descriptor), "connection")
	defer file.Close() // the connection has a duplicate
	return net.FileConn(file)
}

// next returns a connection that was opened before a pause, or else the listener, which
// is nil during a pause. The channel is closed when there is more.
func (pausingListener *pausingListener) next() (net.Conn, net.Listener, <-chan struct{}) {
	pausingListener.mutex.Lock()
	defer pausingListener.mutex.Unlock()
	if len(pausingListener.waiting) == 0 {
		return nil, pausingListener.listener, pausingListener.changed
	}
	connection := pausingListener.waiting[0]
	pausingListener.waiting = pausingListener.waiting[1:]
	return connection, nil, nil
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
		opened, listener, changed := pausingListener.next()
		if opened != nil {
			return opened, nil
		}
		if listener == nil {
			select {
			case <-pausingListener.closed:
				return nil, net.ErrClosed
			case <-changed:
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
		pausingListener.mutex.Lock()
		defer pausingListener.mutex.Unlock()
		for _, connection := range pausingListener.waiting {
			_ = connection.Close() // nothing was read
		}
		err, pausingListener.waiting = nil, nil
		if pausingListener.listener != nil {
			err = pausingListener.listener.Close()
		}
	})
	return err
}

// Addr returns the address of the listener.
func (pausingListener *pausingListener) Addr() net.Addr { return pausingListener.address }
