package router

// Rounds of the pollers of an engine.
//
// A poller of nbio fetches a batch of events from the kernel and finds the connection
// of each by the number of its descriptor. If another goroutine has closed that
// connection meanwhile and the number belongs to a new one, the poller would close the
// new one for the old one's event. roundListener prevents that.
//
// A poller also resets its stop flag when its goroutine begins to run. If the engine is
// stopped before that, the poller never ends and keeps a processor busy, and
// Engine.Stop never returns. Therefore an engine counts as started when each of its
// pollers has come round once.

import (
	"net"
	"os"
	"sync"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"golang.org/x/sys/unix"
)

// pollerRounds tells when a poller has come round, that is, has handled all events that
// it had fetched before. It has a connection of its own at the poller: an event of that
// connection is fetched after all of them.
type pollerRounds struct {
	// peer is the other end of the connection. One byte at most is on its way.
	peer  *os.File
	mutex sync.Mutex
	// current is closed when the poller has read the byte that is on its way, next when
	// it has read the one after it. They are nil while nothing waits for them.
	current, next chan struct{}
}

// newEngineRounds returns the rounds of all pollers of a started engine, once each of
// them has come round.
func newEngineRounds(engine *nbio.Engine) ([]*pollerRounds, error) {
	var engineRounds []*pollerRounds
	for poller := range engine.NPoller {
		rounds, err := newPollerRounds(engine, poller)
		if err != nil {
			closeRounds(engineRounds)
			return nil, err
		}
		engineRounds = append(engineRounds, rounds)
		rounds.await()
	}
	return engineRounds, nil
}

func newPollerRounds(engine *nbio.Engine, poller int) (*pollerRounds, error) {
	connection, peer, err := newPollerConnection(engine, poller)
	if err != nil {
		return nil, err
	}
	pollerRounds := &pollerRounds{peer: peer}
	connection.OnData(func(*nbio.Conn, []byte) { pollerRounds.end() })
	if _, err := engine.AddConn(connection); err != nil {
		_ = peer.Close() // nothing was sent
		return nil, err
	}
	return pollerRounds, nil
}

// closeRounds closes the connections at the pollers. Nothing may wait for a round.
func closeRounds(engineRounds []*pollerRounds) {
	for _, pollerRounds := range engineRounds {
		_ = pollerRounds.peer.Close() // nothing is on its way
	}
}

// await waits until the poller has come round once since the call.
func (pollerRounds *pollerRounds) await() {
	<-pollerRounds.begin()
}

// begin returns a channel that is closed when the poller has come round.
func (pollerRounds *pollerRounds) begin() <-chan struct{} {
	pollerRounds.mutex.Lock()
	defer pollerRounds.mutex.Unlock()
	if pollerRounds.current != nil {
		if pollerRounds.next == nil {
			pollerRounds.next = make(chan struct{})
		}
		return pollerRounds.next
	}
	round := make(chan struct{})
	pollerRounds.current = round
	pollerRounds.send()
	return round
}

// end is called by the poller when it has read a byte.
func (pollerRounds *pollerRounds) end() {
	pollerRounds.mutex.Lock()
	defer pollerRounds.mutex.Unlock()
	if pollerRounds.current == nil {
		return
	}
	close(pollerRounds.current)
	pollerRounds.current, pollerRounds.next = pollerRounds.next, nil
	if pollerRounds.current != nil {
		pollerRounds.send()
	}
}

// send sends the byte of the current round. If it can't, which happens only once the
// engine has stopped, the round ends.
func (pollerRounds *pollerRounds) send() {
	if _, err := pollerRounds.peer.Write([]byte{0}); err != nil {
		logging.Error("beginning a round of a poller failed: %v", err)
		close(pollerRounds.current)
		pollerRounds.current = nil
	}
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
