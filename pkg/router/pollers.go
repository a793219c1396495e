package router

// Waiting for the pollers of an engine.
//
// A poller of nbio resets its stop flag when its goroutine begins to run. If the
// engine is stopped before that, the poller never ends and keeps a processor busy,
// and Engine.Stop never returns. Therefore an engine counts as started when each
// of its pollers has read from a connection.

import (
	"net"
	"os"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// awaitPollers waits until all pollers of a started engine run.
func awaitPollers(engine *nbio.Engine) error {
	for poller := range engine.NPoller {
		if err := awaitPoller(engine, poller); err != nil {
			return err
		}
	}
	return nil
}

func awaitPoller(engine *nbio.Engine, poller int) error {
	connection, peer, err := newPollerConnection(engine, poller)
	if err != nil {
		return err
	}
	defer peer.Close() // the poller then closes the connection
	running := make(chan struct{})
	connection.OnData(func(*nbio.Conn, []byte) { close(running) })
	if _, err := engine.AddConn(connection); err != nil {
		return err
	}
	if _, err := peer.Write([]byte{0}); err != nil {
		return err
	}
	<-running
	return nil
}

// newPollerConnection returns a connection that the engine will assign to the
// poller, which it does by the descriptor's number, and the connection's other end.
func newPollerConnection(engine *nbio.Engine, poller int) (*nbio.Conn, *os.File, error) {
	descriptors, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, nil, err
	}
	end, peer := os.NewFile(uintptr(descriptors[0]), "end"), os.NewFile(uintptr(descriptors[1]), "peer")
	defer end.Close() // only duplicates of it are used
	for {
		connection, err := duplicate(end)
		if err != nil {
			_ = peer.Close() // nothing was sent
			return nil, nil, err
		}
		if connection.Hash()%engine.NPoller == poller {
			return connection, peer, nil
		}
		defer connection.Close() // until then the next duplicate gets another number
	}
}

func duplicate(file *os.File) (*nbio.Conn, error) {
	connection, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	nbioConnection, err := nbio.NBConn(connection)
	if err != nil {
		_ = connection.Close() // nothing was sent
	}
	return nbioConnection, err
}
