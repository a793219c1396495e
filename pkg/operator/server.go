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

// defaultBodyBytes bounds a message.
const defaultBodyBytes = 1 << 20

// ServerConfig describes a server.
type ServerConfig struct {
	// Tokens let operators in.
	Tokens    []Token
	Publisher Publisher
	Ledger    Ledger
	Follower  Follower
	// Members returns the routers that this one knows, itself included.
	Members func() []fleet.Member
	// Adopter asks routers for their revision; nil means that the revisions are
	// those that Members reports.
	Adopter configuration.Adopter
	// Self is the incarnation of this router.
	Incarnation string
	// UpstreamStates may be nil when orders to upstreams are not carried out.
	UpstreamStates UpstreamStates
	Logger         log.Logger
	// Registerer may be nil.
	Registerer prometheus.Registerer
	// Propagation bounds how long a publication waits for the live routers;
	// zero means 5 s.
	PropagationTimeout time.Duration
	// BodyBytes bounds a message; zero means 1 MiB.
	MaxBodyBytes int64
}

// Server answers operators.
type Server struct {
	config   ServerConfig
	handler  http.Handler
	requests *prometheus.CounterVec
}

var _ operatorpb.Operator = (*Server)(nil)

// NewServer returns the handler for a router's operator address.
func NewServer(config ServerConfig) *Server {
	if config.PropagationTimeout == 0 {
		config.PropagationTimeout = defaultPropagation
	}
	if config.MaxBodyBytes == 0 {
		config.MaxBodyBytes = defaultBodyBytes
	}
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	server := &Server{config: config, requests: newRequests(config.Registerer)}
	server.handler = server.authenticate(operatorpb.NewOperatorServer(
		server,
		twirp.WithServerInterceptors(server.intercept),
		twirp.WithServerHooks(server.hooks()),
	))
	return server
}

// ServeHTTP answers one request.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.handler.ServeHTTP(writer, request)
}

// refuse answers a request that has not reached a method.
func (server *Server) refuse(writer http.ResponseWriter, err error) {
	server.count(noMethod, err)
	if writeErr := twirp.WriteError(writer, toTwirp(err)); writeErr != nil {
		_ = level.Warn(server.config.Logger).Log("msg", "refusal not written", "err", writeErr)
	}
}
