package standin

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const dialTimeout = time.Second

// Dialer opens connections that tests can blackhole or close from the client
// side. The zero value is ready for use.
type Dialer struct {
	conns  connSet
	killed atomic.Bool
}

// errKilled is returned by a Dialer after Kill or Freeze.
var errKilled = errors.New("the process of this dialer was killed")

// DialContext opens a connection. It fails after Kill or Freeze.
func (dialer *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if dialer.killed.Load() {
		return nil, errKilled
	}
	netDialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := netDialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	wrapped := dialer.conns.wrap(conn)
	if dialer.killed.Load() {
		return nil, errors.Join(errKilled, wrapped.Close())
	}
	return wrapped, nil
}

// BlackholeConnections permanently drops all data on the open connections, in
// both directions and without closing them. New connections work.
func (dialer *Dialer) BlackholeConnections() { dialer.conns.blackhole() }

// Freeze blackholes all open connections and refuses to open new ones, like a
// process that is suspended.
func (dialer *Dialer) Freeze() {
	dialer.killed.Store(true)
	dialer.BlackholeConnections()
}

// Kill closes all open connections and refuses to open new ones, like a process
// that dies.
func (dialer *Dialer) Kill() {
	dialer.killed.Store(true)
	for _, conn := range dialer.conns.list() {
		_ = conn.Close()
	}
}

// connSet tracks the open connections of a Dialer or a listener.
type connSet struct {
	mutex sync.Mutex
	conns map[*blackholeConn]struct{}
}

func (connSet *connSet) wrap(conn net.Conn) net.Conn {
	wrapped := &blackholeConn{Conn: conn, owner: connSet}
	connSet.mutex.Lock()
	defer connSet.mutex.Unlock()
	if connSet.conns == nil {
		connSet.conns = make(map[*blackholeConn]struct{})
	}
	connSet.conns[wrapped] = struct{}{}
	return wrapped
}

func (connSet *connSet) list() []*blackholeConn {
	connSet.mutex.Lock()
	defer connSet.mutex.Unlock()
	return slices.Collect(maps.Keys(connSet.conns))
}

func (connSet *connSet) blackhole() {
	for _, conn := range connSet.list() {
		conn.blackholed.Store(true)
	}
}

func (connSet *connSet) remove(conn *blackholeConn) {
	connSet.mutex.Lock()
	defer connSet.mutex.Unlock()
	delete(connSet.conns, conn)
}
