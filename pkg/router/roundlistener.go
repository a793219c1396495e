package router

import (
	"errors"
	"net"
	"sync"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

// roundListener is a listener that hands over a connection to its engine when the
// connection's poller has come round since it was accepted. The poller then has no event
// left of an earlier connection whose descriptor had the same number.
type roundListener struct {
	net.Listener
	accepted chan acceptResult
	// started is closed once engineRounds is set.
	started      chan struct{}
	engineRounds []*pollerRounds
}

// acceptResult is what Accept returns.
type acceptResult struct {
	connection net.Conn
	err        error
}

// newRoundListener starts to accept connections. None is handed over before start is called.
func newRoundListener(listener net.Listener) *roundListener {
	roundListener := &roundListener{Listener: listener, accepted: make(chan acceptResult), started: make(chan struct{})}
	go func() {
		defer close(roundListener.accepted)
		var waiting sync.WaitGroup
		for {
			connection, err := listener.Accept()
			if err == nil {
				waiting.Go(func() { roundListener.handOver(connection) })
				continue
			}
			waiting.Wait()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			roundListener.accepted <- acceptResult{err: err}
		}
	}()
	return roundListener
}

// start sets the rounds of the engine's pollers. Without any, connections are closed.
func (roundListener *roundListener) start(engineRounds []*pollerRounds) {
	roundListener.engineRounds = engineRounds
	close(roundListener.started)
}

// handOver gives the connection its final descriptor and hands it over after the next
// round of the poller.
func (roundListener *roundListener) handOver(accepted net.Conn) {
	<-roundListener.started
	pollerCount := len(roundListener.engineRounds)
	if pollerCount == 0 {
		_ = accepted.Close() // the engine could not be started
		return
	}
	connection, err := nbio.NBConn(accepted)
	if err != nil {
		logging.Error("taking over the connection of %s failed: %v", accepted.RemoteAddr(), err)
		_ = accepted.Close() // nothing was read
		return
	}
	roundListener.engineRounds[connection.Hash()%pollerCount].await()
	roundListener.accepted <- acceptResult{connection: connection}
}

// Accept returns the next connection. It returns net.ErrClosed when the listener is
// closed and all accepted connections have been returned.
func (roundListener *roundListener) Accept() (net.Conn, error) {
	result, open := <-roundListener.accepted
	if !open {
		return nil, net.ErrClosed
	}
	return result.connection, result.err
}
