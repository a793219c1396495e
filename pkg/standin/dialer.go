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

// Dialer opens connections that can be made silent or cut, from the side that
// opens them. Its zero value is ready.
type Dialer struct {
	conns  connSet
	killed atomic.Bool
}

// errKilled is what a killed Dialer returns.
var errKilled = errors.New("the process of this dialer was killed")

// DialContext opens a connection.
func (dialer *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if dialer.killed.Load() {
		return nil, errKilled
	}
	plain := &net.Dialer{Timeout: dialTimeout}
	conn, err := plain.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	wrapped := dialer.conns.wrap(conn)
	if dialer.killed.Load() {
		return nil, errors.Join(errKilled, wrapped.Close())
	}
	return wrapped, nil
}

// Silence makes all open connections silent for good; new ones work.
func (dialer *Dialer) Silence() { dialer.conns.silence() }

// Freeze makes all open connections silent for good and opens no more, as when
// the process stops running.
func (dialer *Dialer) Freeze() {
	dialer.killed.Store(true)
	dialer.Silence()
}

// Kill cuts all open connections and opens no more, as when the process dies.
func (dialer *Dialer) Kill() {
	dialer.killed.Store(true)
	for _, conn := range dialer.conns.all() {
		_ = conn.Close()
	}
}

// connSet holds the open connections of one side.
type connSet struct {
	mutex sync.Mutex
	conns map[*silentConn]struct{}
}

func (connSet *connSet) wrap(conn net.Conn) net.Conn {
	wrapped := &silentConn{Conn: conn, owner: connSet}
	connSet.mutex.Lock()
	defer connSet.mutex.Unlock()
	if connSet.conns == nil {
		connSet.conns = make(map[*silentConn]struct{})
	}
	connSet.conns[wrapped] = struct{}{}
	return wrapped
}

func (connSet *connSet) all() []*silentConn {
	connSet.mutex.Lock()
	defer connSet.mutex.Unlock()
	return slices.Collect(maps.Keys(connSet.conns))
}

func (connSet *connSet) silence() {
	for _, conn := range connSet.all() {
		conn.silent.Store(true)
	}
}

func (connSet *connSet) forget(conn *silentConn) {
	connSet.mutex.Lock()
	defer connSet.mutex.Unlock()
	delete(connSet.conns, conn)
}
