package router

import (
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// idleTimeout starts the idle timeout of a connection anew when a request begins and
// when it was read. nbhttp starts it only after an answer, so it could end a request on a
// connection that was idle before.
type idleTimeout struct {
	nbhttp.Processor
	connection *nbio.Conn
	timeout    time.Duration
}

// setIdleTimeout sets the idle timeout of a connection that was accepted.
func setIdleTimeout(connection *nbio.Conn, timeout time.Duration) {
	if parser, ok := connection.Session().(*nbhttp.Parser); ok {
		parser.Processor = &idleTimeout{Processor: parser.Processor, connection: connection, timeout: timeout}
	}
}

// OnMethod restarts the timeout at the begin of a request.
func (idleTimeout *idleTimeout) OnMethod(parser *nbhttp.Parser, method string) {
	idleTimeout.restart()
	idleTimeout.Processor.OnMethod(parser, method)
}

// OnComplete restarts the timeout when a request was read.
func (idleTimeout *idleTimeout) OnComplete(parser *nbhttp.Parser) {
	idleTimeout.restart()
	idleTimeout.Processor.OnComplete(parser)
}

func (idleTimeout *idleTimeout) restart() {
	_ = idleTimeout.connection.SetReadDeadline(time.Now().Add(idleTimeout.timeout)) // never fails
}
