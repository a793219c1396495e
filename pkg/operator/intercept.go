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
	// resultDone is the metric label of calls without an error.
	resultDone = "done"
	// methodNone is the metric label of requests that reach no method.
	methodNone = "none"
)

func newRequestCounter(registerer prometheus.Registerer) *prometheus.CounterVec {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "wisterialb",
		Subsystem: "operator",
		Name:      "requests_total",
		Help:      "Operators' requests by method and by kind of error, done when there was none.",
	}, []string{"method", "result"})
	if registerer != nil {
		registerer.MustRegister(counter)
	}
	return counter
}

// intercept counts and logs a call and converts its error to a twirp error.
func (server *Server) intercept(next twirp.Method) twirp.Method {
	return func(ctx context.Context, request any) (any, error) {
		method, _ := twirp.MethodName(ctx)
		start := time.Now()
		response, err := next(ctx, request)
		server.countRequest(method, err)
		_ = level.Debug(server.config.Logger).Log("msg", "operator call", "method", method,
			"operator", operatorFromContext(ctx), "duration", time.Since(start), "err", err)
		if err != nil {
			return nil, toTwirpError(err)
		}
		return response, nil
	}
}

func (server *Server) countRequest(method string, err error) {
	result := resultDone
	if err != nil {
		result = string(fault.KindOf(err))
	}
	server.requestCounter.WithLabelValues(method, result).Inc()
}

// hooks counts errors that the twirp library returns itself, such as for a
// malformed message. Errors of methods are counted by intercept.
func (server *Server) hooks() *twirp.ServerHooks {
	return &twirp.ServerHooks{
		Error: func(ctx context.Context, err twirp.Error) context.Context {
			if err.Meta(metaKind) == "" {
				server.countRequest(methodNone, fromTwirpError(err))
			}
			return ctx
		},
	}
}
