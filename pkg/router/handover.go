package router

import (
	"sync/atomic"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// orderHandover orders the making of a connection before its first read. nbio
// hands a connection from the goroutine that accepts it to the poller through
// the kernel (epoll), which neither the memory model nor the race detector
// knows of. An atomic counter states the order that the kernel keeps.
func orderHandover(engine *nbhttp.Engine) {
	var accepted atomic.Uint64
	engine.Engine.OnOpen(func(*nbio.Conn) {
		accepted.Add(1)
	})
	engine.OnData(func(connection *nbio.Conn, data []byte) {
		accepted.Load()
		connection.DataHandler()(connection, data)
	})
}
