package standin

// An endpoint is the HTTP server used by every stand-in. Its listener wraps
// connections so that those currently open can be blackholed: all data in both
// directions is dropped permanently, while new connections work.

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const (
	anyLoopbackAddress = "127.0.0.1:0"
	headerTimeout      = 10 * time.Second
)

type endpoint struct {
	listener  *blackholeListener
	server    *http.Server
	serveDone chan struct{}
}

// newEndpoint starts a server for the handler on a loopback address. An empty
// address means any free port.
func newEndpoint(address string, handler http.Handler) (*endpoint, error) {
	if address == "" {
		address = anyLoopbackAddress
	}
	if err := requireLoopback(address); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.New(fault.Config{
			Kind:    fault.Unavailable,
			Message: "cannot listen on " + address + ": " + err.Error(),
			Remedy:  "choose a free port",
			Cause:   err,
		})
	}
	endpoint := &endpoint{
		listener:  &blackholeListener{Listener: listener},
		server:    &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
		serveDone: make(chan struct{}),
	}
	go func() {
		defer close(endpoint.serveDone)
		_ = endpoint.server.Serve(endpoint.listener)
	}()
	return endpoint, nil
}

func requireLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err == nil && net.ParseIP(host).IsLoopback() {
		return nil
	}
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: "stand-in cannot listen on " + address,
		Remedy:  "use a loopback IP number and port",
		Cause:   err,
	})
}

// address returns the IP address and port.
func (endpoint *endpoint) address() string { return endpoint.listener.Addr().String() }

// blackholeConnections permanently drops all data on the open connections.
func (endpoint *endpoint) blackholeConnections() { endpoint.listener.conns.blackhole() }

// close closes the listener and all connections.
func (endpoint *endpoint) close() error {
	err := endpoint.server.Close()
	<-endpoint.serveDone
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

type blackholeListener struct {
	net.Listener
	conns connSet
}

// Accept returns the next connection, wrapped in a blackholeConn.
func (blackholeListener *blackholeListener) Accept() (net.Conn, error) {
	conn, err := blackholeListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return blackholeListener.conns.wrap(conn), nil
}

// blackholeConn drops all data in both directions once blackholed is set.
type blackholeConn struct {
	net.Conn
	owner      *connSet
	blackholed atomic.Bool
}

// Read returns data from the peer. Once the connection is blackholed, it discards
// all data and returns only when the underlying Read fails.
func (blackholeConn *blackholeConn) Read(buffer []byte) (int, error) {
	for {
		n, err := blackholeConn.Conn.Read(buffer)
		if err != nil || !blackholeConn.blackholed.Load() {
			return n, err
		}
	}
}

// Write sends data to the peer. Once the connection is blackholed, it discards
// the data and reports success.
func (blackholeConn *blackholeConn) Write(buffer []byte) (int, error) {
	if blackholeConn.blackholed.Load() {
		return len(buffer), nil
	}
	return blackholeConn.Conn.Write(buffer)
}

func (blackholeConn *blackholeConn) Close() error {
	blackholeConn.owner.remove(blackholeConn)
	return blackholeConn.Conn.Close()
}
