package standin

// An endpoint is the HTTP server that every stand-in shares. Its listener wraps
// connections so that those open at a moment can be made silent for good: what
// either end sends on them is dropped, while new connections work.

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
	listener *silentListener
	server   *http.Server
	served   chan struct{}
}

// newEndpoint serves the handler on a loopback address; empty means any port.
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
		listener: &silentListener{Listener: listener},
		server:   &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
		served:   make(chan struct{}),
	}
	go func() {
		defer close(endpoint.served)
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

// address returns the IP number and port.
func (endpoint *endpoint) address() string { return endpoint.listener.Addr().String() }

// silence makes all open connections silent for good.
func (endpoint *endpoint) silence() { endpoint.listener.conns.silence() }

// close ends the listener and all connections.
func (endpoint *endpoint) close() error {
	err := endpoint.server.Close()
	<-endpoint.served
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

type silentListener struct {
	net.Listener
	conns connSet
}

// Accept wraps the next connection.
func (silentListener *silentListener) Accept() (net.Conn, error) {
	conn, err := silentListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return silentListener.conns.wrap(conn), nil
}

// silentConn drops what passes through it once silent is set.
type silentConn struct {
	net.Conn
	owner  *connSet
	silent atomic.Bool
}

// Read returns what the other end sent, or drops it on a silent connection.
func (silentConn *silentConn) Read(buffer []byte) (int, error) {
	for {
		n, err := silentConn.Conn.Read(buffer)
		if err != nil || !silentConn.silent.Load() {
			return n, err
		}
	}
}

// Write sends to the other end, or drops the bytes on a silent connection.
func (silentConn *silentConn) Write(buffer []byte) (int, error) {
	if silentConn.silent.Load() {
		return len(buffer), nil
	}
	return silentConn.Conn.Write(buffer)
}

// Close closes the connection.
func (silentConn *silentConn) Close() error {
	silentConn.owner.forget(silentConn)
	return silentConn.Conn.Close()
}
