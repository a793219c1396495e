package operator

import (
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/twitchtv/twirp"

	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/fleet"
	"gitlab.com/wisterialb/wisterialb/pkg/operator/operatorpb"
)

// defaultMaxBodyBytes is the default size limit of a request body.
const defaultMaxBodyBytes = 1 << 20

// ServerConfig configures a Server.
type ServerConfig struct {
	// Tokens are the credentials of the operators.
	Tokens    []Token
	Publisher Publisher
	Ledger    Ledger
	Follower  Follower
	// Members returns the known routers, this one included.
	Members func() []fleet.Member
	// Adopter sends changes to other routers and reads their revisions. If it is
	// nil, the revisions are the ones that Members returns.
	Adopter configuration.Adopter
	// Incarnation is the incarnation of this router.
	Incarnation string
	// UpstreamStates may be nil if this router doesn't manage the models of
	// upstreams.
	UpstreamStates UpstreamStates
	Logger         log.Logger
	// Registerer may be nil.
	Registerer prometheus.Registerer
	// PropagationTimeout bounds how long a publication waits for the live routers;
	// zero means 5 s.
	PropagationTimeout time.Duration
	// MaxBodyBytes is the maximum size of a request body; zero means 1 MiB.
	MaxBodyBytes int64
}

// Server serves the operator protocol.
type Server struct {
	config         ServerConfig
	handler        http.Handler
	requestCounter *prometheus.CounterVec
}

var _ operatorpb.Operator = (*Server)(nil)

// NewServer returns the HTTP handler of a router's operator address.
func NewServer(config ServerConfig) *Server {
	if config.PropagationTimeout == 0 {
		config.PropagationTimeout = defaultPropagationTimeout
	}
	if config.MaxBodyBytes == 0 {
		config.MaxBodyBytes = defaultMaxBodyBytes
	}
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	server := &Server{config: config, requestCounter: newRequestCounter(config.Registerer)}
	server.handler = server.authenticate(operatorpb.NewOperatorServer(
		server,
		twirp.WithServerInterceptors(server.intercept),
		twirp.WithServerHooks(server.hooks()),
	))
	return server
}

// ServeHTTP implements http.Handler.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.handler.ServeHTTP(writer, request)
}

// refuse writes the error of a request that has not reached a method.
func (server *Server) refuse(writer http.ResponseWriter, err error) {
	server.countRequest(methodNone, err)
	if writeErr := twirp.WriteError(writer, toTwirpError(err)); writeErr != nil {
		_ = level.Warn(server.config.Logger).Log("msg", "failed to write error response", "err", writeErr)
	}
}
