package router

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

const (
	// maxHeldConnections limits the connections that wait for a round. Further ones wait
	// in the kernel.
	maxHeldConnections = 512
	// acceptErrorPause is the time before accepting is tried again after an error.
	acceptErrorPause = 50 * time.Millisecond
)

// roundListener is a listener that hands over a connection to its engine when the
// connection's poller has come round since it was accepted. The poller then has no event
// left of an earlier connection whose descriptor had the same number, unless the kernel is
// still closing that one: it frees the number first.
type roundListener struct {
	net.Listener
	accepted chan net.Conn
	// started is closed once engineRounds is set.
	started      chan struct{}
	engineRounds []*pollerRounds
	// held has a value for each connection that waits for a round.
	held chan struct{}
}

// newRoundListener starts to accept connections, of which at most maxHeld wait. None is
// handed over before start is called.
func newRoundListener(listener net.Listener, maxHeld int) *roundListener {
	roundListener := &roundListener{
		Listener: listener, accepted: make(chan net.Conn), started: make(chan struct{}), held: make(chan struct{}, maxHeld),
	}
	go func() {
		defer close(roundListener.accepted)
		var waiting sync.WaitGroup
		defer waiting.Wait()
		for {
			roundListener.held <- struct{}{}
			connection, err := roundListener.acceptNext()
			if err != nil {
				return
			}
			waiting.Go(func() {
				roundListener.handOver(connection)
				<-roundListener.held
			})
		}
	}()
	return roundListener
}

// start sets the rounds of the engine's pollers. Without any, connections are closed.
func (roundListener *roundListener) start(engineRounds []*pollerRounds) {
	roundListener.engineRounds = engineRounds
	close(roundListener.started)
}

// acceptNext returns the next connection with its final descriptor. Errors are logged; it
// returns net.ErrClosed when the listener is closed.
func (roundListener *roundListener) acceptNext() (*nbio.Conn, error) {
	for {
		accepted, err := roundListener.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			logging.Error("accepting a connection failed, retrying: %v", err)
			time.Sleep(acceptErrorPause)
			continue
		}
		connection, err := nbio.NBConn(accepted)
		if err == nil {
			return connection, nil
		}
		logging.Error("taking over the connection of %s failed: %v", accepted.RemoteAddr(), err)
		_ = accepted.Close() // nothing was read
	}
}

// handOver hands a connection over after the next round of its poller.
func (roundListener *roundListener) handOver(connection *nbio.Conn) {
	<-roundListener.started
	pollerCount := len(roundListener.engineRounds)
	if pollerCount == 0 {
		_ = connection.Close() // the engine could not be started
		return
	}
	roundListener.engineRounds[connection.Hash()%pollerCount].await()
	roundListener.accepted <- connection
}

// Accept returns the next connection. It returns net.ErrClosed when the listener is
// closed and all accepted connections have been returned.
func (roundListener *roundListener) Accept() (net.Conn, error) {
	connection, open := <-roundListener.accepted
	if !open {
		return nil, net.ErrClosed
	}
	return connection, nil
}
