package router

// The servers for peers and operators, and periodic background tasks.

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

const (
	// maxControlBodyBytes limits the body of a request from a peer or an operator.
	maxControlBodyBytes = 4 << 20
	// maxControlConnections limits the open connections of each control server, each of
	// which runs one request at a time.
	maxControlConnections = 1024
	// controlIdleTimeout is the idle timeout of a connection to a control server.
	controlIdleTimeout = 2 * time.Minute
)

// controlServer is an HTTP server for peers or for operators.
type controlServer struct {
	httpEngine *httpEngine
	sweepTask  *periodicTask
}

func newControlServer(name, address string, handler http.Handler) (*controlServer, error) {
	closer := newConnectionCloser()
	httpEngine, err := startHTTPEngine(nbhttp.Config{
		Name:    name,
		Network: "tcp",
		Addrs:   []string{address},
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			connection := nbioConnection(writer)
			if closer.beginRequest(connection, writer, request) {
				defer func() { closer.endRequest(connection, time.Now()) }()
				handler.ServeHTTP(&flushingWriter{ResponseWriter: writer}, request)
			}
		}),
		MaxLoad:         maxControlConnections,
		MaxHTTPBodySize: maxControlBodyBytes,
		ReadLimit:       maxControlBodyBytes * 2,
		ServerExecutor:  func(run func()) { go run() }, // nbio recovers from panics of run
		KeepaliveTime:   controlIdleTimeout,
		NPoller:         1,
	}, neverOverloaded, engineCallbacks{onOpen: func(connection *nbio.Conn) { setIdleTimeout(connection, controlIdleTimeout) }})
	if err != nil {
		return nil, err
	}
	sweepTask := startPeriodicTask(sweepInterval, func(context.Context) { closer.sweep(time.Now()) })
	return &controlServer{httpEngine: httpEngine, sweepTask: sweepTask}, nil
}

func (server *controlServer) close(context.Context) {
	server.sweepTask.stop()
	server.httpEngine.stop()
}

// periodicTask calls a function at a fixed interval on its own goroutine.
type periodicTask struct {
	cancel   context.CancelFunc
	finished sync.WaitGroup
}

func startPeriodicTask(interval time.Duration, task func(ctx context.Context)) *periodicTask {
	ctx, cancel := context.WithCancel(context.Background())
	periodicTask := &periodicTask{cancel: cancel}
	periodicTask.finished.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				task(ctx)
			}
		}
	})
	return periodicTask
}

func (periodicTask *periodicTask) stop() {
	periodicTask.cancel()
	periodicTask.finished.Wait()
}
