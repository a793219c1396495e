package router

// How the callers' server ends a connection after its last answer.
//
// nbhttp closes such a connection from the handler's goroutine. The poller may
// at that moment hold an event of the same descriptor, and a connection that is
// accepted in between gets the descriptor's number: the poller then ends or
// reads the wrong connection, and its caller gets no answer. So the caller, who
// was told that the connection ends, closes first, and the poller closes after
// it. A connection whose caller doesn't is closed here once its answer has left.

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"golang.org/x/sys/unix"
)

const (
	// closeWait is how long a caller may take to close a connection after the
	// last answer: some round trips between distant regions.
	closeWait = 300 * time.Millisecond
	// unsentWait is how long a caller may take to read the last answer; nbio
	// drops what is unsent when it closes.
	unsentWait = 10 * time.Second
	// quietSweeps is how many sweeps in a row must find nothing unsent in the
	// kernel. nbio holds more and hands it over when the kernel has room, which
	// its poller does long before as many sweeps have passed.
	quietSweeps = 10
)

// closing is a connection that ends after an answer.
type closing struct {
	// answered is when the answer was written; zero while its request runs.
	answered time.Time
	// quiet counts the sweeps in a row that found nothing unsent.
	quiet int
}

// closings are the connections of a server that end after an answer.
type closings struct {
	mutex       sync.Mutex
	connections map[*nbio.Conn]*closing
}

func newClosings() *closings {
	return &closings{connections: make(map[*nbio.Conn]*closing)}
}

// begin makes the connection's last answer say so and keeps nbhttp from closing
// it. It reports false when an earlier answer was the last: what follows it is
// not to be answered.
func (closings *closings) begin(connection *nbio.Conn, writer http.ResponseWriter, request *http.Request) bool {
	if connection == nil {
		return true
	}
	closings.mutex.Lock()
	defer closings.mutex.Unlock()
	if _, last := closings.connections[connection]; last {
		if response, ok := writer.(*nbhttp.Response); ok {
			_, _, _ = response.Hijack() // only keeps nbhttp from answering
		}
		return false
	}
	if request.Close {
		request.Close = false
		writer.Header().Set("Connection", "close")
		closings.connections[connection] = &closing{}
	}
	return true
}

// end notes that the connection's last answer is written.
func (closings *closings) end(connection *nbio.Conn, now time.Time) {
	closings.mutex.Lock()
	defer closings.mutex.Unlock()
	if closing, last := closings.connections[connection]; last {
		closing.answered = now
	}
}

// sweep closes the connections whose callers had time enough.
func (closings *closings) sweep(now time.Time) {
	closings.mutex.Lock()
	defer closings.mutex.Unlock()
	for connection, closing := range closings.connections {
		if closed, _ := connection.IsClosed(); closed {
			delete(closings.connections, connection)
			continue
		}
		waited := now.Sub(closing.answered)
		if closing.answered.IsZero() || waited < closeWait {
			continue
		}
		closing.quiet++
		if hasUnsent(connection) {
			closing.quiet = 0
		}
		if waited >= unsentWait || closing.quiet >= quietSweeps {
			_ = connection.Close() // it ends either way
			delete(closings.connections, connection)
		}
	}
}

// hasUnsent reports whether the kernel still holds bytes that the peer has not
// acknowledged. A socket that can't be asked is taken to hold some, until
// unsentWait has passed.
func hasUnsent(connection *nbio.Conn) bool {
	raw, err := connection.SyscallConn()
	if err != nil {
		return true
	}
	unsent, askErr := 0, error(nil)
	err = raw.Control(func(descriptor uintptr) {
		unsent, askErr = unix.IoctlGetInt(int(descriptor), syscall.TIOCOUTQ)
	})
	return err != nil || askErr != nil || unsent > 0
}
