package operator

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/twitchtv/twirp"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const (
	// resultDone labels calls without an error.
	resultDone = "done"
	// noMethod labels requests that reach no method.
	noMethod = "none"
)

func newRequests(registerer prometheus.Registerer) *prometheus.CounterVec {
	requests := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "wisterialb",
		Subsystem: "operator",
		Name:      "requests_total",
		Help:      "Operators' requests by method and by kind of error, done when there was none.",
	}, []string{"method", "result"})
	if registerer != nil {
		registerer.MustRegister(requests)
	}
	return requests
}

// intercept counts and logs a call and turns its error into a twirp error.
func (server *Server) intercept(next twirp.Method) twirp.Method {
	return func(ctx context.Context, request any) (any, error) {
		method, _ := twirp.MethodName(ctx)
		begin := time.Now()
		response, err := next(ctx, request)
		server.count(method, err)
		_ = level.Debug(server.config.Logger).Log("msg", "operator call", "method", method,
			"operator", operatorOf(ctx), "duration", time.Since(begin), "err", err)
		if err != nil {
			return nil, toTwirp(err)
		}
		return response, nil
	}
}

func (server *Server) count(method string, err error) {
	result := resultDone
	if err != nil {
		result = string(fault.KindOf(err))
	}
	server.requests.WithLabelValues(method, result).Inc()
}

// hooks counts the errors that twirp makes itself, such as for a malformed
// message. Those of methods are counted by intercept.
func (server *Server) hooks() *twirp.ServerHooks {
	return &twirp.ServerHooks{
		Error: func(ctx context.Context, err twirp.Error) context.Context {
			if err.Meta(metaKind) == "" {
				server.count(noMethod, fromTwirp(err))
			}
			return ctx
		},
	}
}
