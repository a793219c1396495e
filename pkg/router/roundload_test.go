package router

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// acceptFunc is a listener whose Accept is a function.
type acceptFunc func() (net.Conn, error)

func (accept acceptFunc) Accept() (net.Conn, error) { return accept() }
func (acceptFunc) Close() error                     { return nil }
func (acceptFunc) Addr() net.Addr                   { return &net.TCPAddr{} }

// TestAcceptErrorOfAFailedStartLeavesNoGoroutine guards against a goroutine that waits for
// ever to hand over an error when the engine couldn't be started.
func TestAcceptErrorOfAFailedStartLeavesNoGoroutine(t *testing.T) {
	failed := make(chan struct{})
	errs := []error{syscall.EMFILE, net.ErrClosed}
	listener := newRoundListener(acceptFunc(func() (net.Conn, error) {
		err := errs[0]
		errs = errs[1:]
		if errors.Is(err, syscall.EMFILE) {
			close(failed)
		}
		return nil, err
	}), 1)
	<-failed
	listener.start(nil)
	require.NoError(t, listener.Close())
	time.Sleep(200 * time.Millisecond) // a goroutine that gives up has ended then
	select {
	case result, open := <-listener.accepted:
		require.False(t, open, "the goroutine still waits with %v", result)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the goroutine has not ended")
	}
}

// TestStopHandsOverWhatWasAcceptedAfterAnError guards against callers that wait for ever,
// with a whole request, because the engine took an error of Accept for the end of the
// accepted connections while it stopped.
func TestStopHandsOverWhatWasAcceptedAfterAnError(t *testing.T) {
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer tcpListener.Close()
	caller, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", tcpListener.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	accepted, err := tcpListener.Accept()
	require.NoError(t, err)

	stopping := make(chan struct{})
	results := []struct {
		connection net.Conn
		err        error
	}{{err: syscall.EMFILE}, {connection: accepted}, {err: net.ErrClosed}}
	listener := newRoundListener(acceptFunc(func() (net.Conn, error) {
		<-stopping
		result := results[0]
		results = results[1:]
		return result.connection, result.err
	}), 1)
	rounds := idleRounds(t)
	listener.start([]*pollerRounds{rounds})
	stoppable := newStoppableListener(listener)
	received := make(chan net.Conn, 1)
	go func() { // like the engine
		for {
			connection, err := stoppable.Accept()
			if err != nil {
				return
			}
			received <- connection
		}
	}()
	defer stoppable.Close()
	go func() {
		<-stoppable.stopping
		close(stopping)
	}()
	stoppable.stopAccepting()
	select {
	case connection := <-received:
		require.NoError(t, connection.Close())
	default:
		require.Fail(t, "the engine counts as drained without the connection")
	}
}

// TestRoundBeginsAfterTheCall guards against connections that are handed over after a
// round that had begun before they were accepted.
func TestRoundBeginsAfterTheCall(t *testing.T) {
	isOpen := func(round <-chan struct{}) bool {
		select {
		case <-round:
			return false
		default:
			return true
		}
	}
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	defer reader.Close()
	defer writer.Close()
	rounds := &pollerRounds{peer: writer}
	first, second, third := rounds.begin(), rounds.begin(), rounds.begin()
	rounds.end()
	require.False(t, isOpen(first))
	require.True(t, isOpen(second))
	fourth := rounds.begin()
	rounds.end()
	require.False(t, isOpen(second))
	require.False(t, isOpen(third))
	require.True(t, isOpen(fourth))
	rounds.end()
	require.False(t, isOpen(fourth))
	read, err := reader.Read(make([]byte, 8))
	require.NoError(t, err)
	require.Equal(t, 3, read, "one byte a round")
}

// idleRounds returns the rounds of a poller that has nothing else to do.
func idleRounds(t *testing.T) *pollerRounds {
	t.Helper()
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = writer.Close()
		_ = reader.Close()
	})
	rounds := &pollerRounds{peer: writer}
	go func() {
		for {
			if _, err := reader.Read(make([]byte, 1)); err != nil {
				return
			}
			rounds.end()
		}
	}()
	return rounds
}
