package router

// The servers for peers and operators, and the process's background work.

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

const (
	// maxControlBodyBytes bounds a message of a peer or an operator.
	maxControlBodyBytes = 4 << 20
	// maxControlConnections bounds connections of peers or operators.
	maxControlConnections = 1024
	// controlRequests bounds control requests that run at once.
	controlRequests = 64
	// controlKeepalive is how long an idle control connection stays open.
	controlKeepalive = 2 * time.Minute
)

// controlServer serves peers or operators.
type controlServer struct {
	engine *httpEngine
	sweeps *background
}

func newControlServer(name, address string, handler http.Handler) (*controlServer, error) {
	closings := newClosings()
	engine, err := startEngine(nbhttp.Config{
		Name:    name,
		Network: "tcp",
		Addrs:   []string{address},
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			connection := connectionOf(writer)
			if closings.begin(connection, writer, request) {
				defer func() { closings.end(connection, time.Now()) }()
				handler.ServeHTTP(&pieceWriter{ResponseWriter: writer}, request)
			}
		}),
		MaxLoad:                maxControlConnections,
		MaxHTTPBodySize:        maxControlBodyBytes,
		ReadLimit:              maxControlBodyBytes * 2,
		MessageHandlerPoolSize: controlRequests,
		KeepaliveTime:          controlKeepalive,
		NPoller:                1,
	})
	if err != nil {
		return nil, err
	}
	sweeps := newBackground(sweepInterval, func(context.Context) { closings.sweep(time.Now()) })
	return &controlServer{engine: engine, sweeps: sweeps}, nil
}

func (control *controlServer) close(context.Context) {
	control.sweeps.stop()
	control.engine.stop()
}

// background runs periodic work on one goroutine.
type background struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newBackground(interval time.Duration, work func(ctx context.Context)) *background {
	ctx, cancel := context.WithCancel(context.Background())
	background := &background{cancel: cancel}
	background.done.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				work(ctx)
			}
		}
	})
	return background
}

func (background *background) stop() {
	background.cancel()
	background.done.Wait()
}
