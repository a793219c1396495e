package standin

import (
	"context"
	"net"
	"sync"
	"time"
)

const dialTimeout = time.Second

// Dialer opens connections that can be made silent for good, from the side that
// opens them. Its zero value is ready.
type Dialer struct {
	conns connSet
}

// DialContext opens a connection.
func (dialer *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	plain := &net.Dialer{Timeout: dialTimeout}
	conn, err := plain.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return dialer.conns.wrap(conn), nil
}

// Silence makes all open connections silent for good; new ones work.
func (dialer *Dialer) Silence() { dialer.conns.silence() }

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

func (connSet *connSet) silence() {
	connSet.mutex.Lock()
	defer connSet.mutex.Unlock()
	for conn := range connSet.conns {
		conn.silent.Store(true)
	}
}

func (connSet *connSet) forget(conn *silentConn) {
	connSet.mutex.Lock()
	defer connSet.mutex.Unlock()
	delete(connSet.conns, conn)
}
