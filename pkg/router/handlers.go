package router

// HTTP handlers of the callers' API.

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"gitlab.com/wisterialb/wisterialb/pkg/completion"
	"gitlab.com/wisterialb/wisterialb/pkg/configuration"
	"gitlab.com/wisterialb/wisterialb/pkg/dispatch"
	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

const servicesPrefix = "/v1/services/"

// ServeHTTP serves the callers' API.
func (router *Router) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	path := request.URL.Path
	switch {
	case path == "/v1/entry":
		router.serveEntry(writer, request)
	case path == "/v1/chat/completions":
		router.serveCompletion(writer, request)
	case strings.HasPrefix(path, servicesPrefix):
		router.serveService(writer, request)
	case path == "/healthz":
		respondJSON(writer, http.StatusOK, struct{}{})
	default:
		router.refuse(writer, fault.New(fault.Config{
			Kind:    fault.NotFound,
			Message: "there is no path " + path,
			Remedy:  "use /v1/entry, /v1/chat/completions or /v1/services/{service}/...",
		}))
	}
}

// refuse answers a request that failed before it was run, and counts and logs
// it. While the router is draining, the answer lists other routers.
func (router *Router) refuse(writer http.ResponseWriter, err error) {
	router.metrics.countRequest("", err)
	router.info("event", "request_refused", "kind", fault.KindOf(err), "outcome", fault.OutcomeOf(err), "err", fault.MessageOf(err))
	if fault.Is(err, fault.Draining) {
		writer.Header().Set(headerAlternatives, strings.Join(router.alternatives(), ","))
	}
	respondError(writer, err)
}

func (router *Router) serveEntry(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	profile := query.Get("profile")
	if profile == "" {
		router.refuse(writer, fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "the request names no profile",
			Remedy:  "call /v1/entry?profile=NAME",
		}))
		return
	}
	zone := query.Get("zone")
	if zone == "" {
		zone = router.handlerConfig.Zone
	}
	respondJSON(writer, http.StatusOK, router.ranker.Rank(profile, zone))
}

func (router *Router) alternatives() []string {
	addresses := make([]string, 0)
	for _, address := range router.ranker.Rank("", router.handlerConfig.Zone).Addresses {
		if address != router.handlerConfig.CallerAddress {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (router *Router) serveCompletion(writer http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodPost {
		router.refuse(writer, methodNotAllowed(request.Method))
		return
	}
	admitted, err := router.admit(request.Context(), request)
	if err != nil {
		router.refuse(writer, err)
		return
	}
	admitted, work, completionRequest, err := router.newCompletionWork(admitted, request)
	if err != nil {
		router.refuse(writer, err)
		return
	}
	base := router.newSinkBase(writer, admitted)
	var sink answerSink = &collectSink{sinkBase: base}
	if completionRequest.Stream {
		sink = &streamSink{sinkBase: base, includeUsage: completionRequest.IncludeUsage}
	}
	sink = &modelSink{eventSink: sink, errorSink: &plainSink{sinkBase: base, maxBytes: router.handlerConfig.MaxAnswerBytes}}
	err = router.run(request.Context(), admitted, work, sink)
	router.recordEnd(admitted, err)
}

func (router *Router) newCompletionWork(admitted admittedRequest, request *http.Request) (admittedRequest, dispatch.Work, completion.Request, error) {
	body, err := router.readBody(request)
	if err != nil {
		return admittedRequest{}, dispatch.Work{}, completion.Request{}, err
	}
	completionRequest, err := completion.Parse(body, completion.ParseConfig{
		DefaultMaxTokens: router.handlerConfig.DefaultMaxTokens,
		MaxTokensLimit:   router.handlerConfig.MaxTokensLimit,
	})
	if err != nil {
		return admittedRequest{}, dispatch.Work{}, completion.Request{}, err
	}
	admitted, err = router.authorizeModel(admitted, request, completionRequest.Model)
	if err != nil {
		return admittedRequest{}, dispatch.Work{}, completion.Request{}, err
	}
	upstreamBody, err := completionRequest.EngineBody()
	if err != nil {
		return admittedRequest{}, dispatch.Work{}, completion.Request{}, err
	}
	resumeToken, err := router.parseResumeToken(request, admitted)
	if err != nil {
		return admittedRequest{}, dispatch.Work{}, completion.Request{}, err
	}
	if resumeToken.Position > 0 && !completionRequest.Stream {
		return admittedRequest{}, dispatch.Work{}, completion.Request{}, errResumeNotStreamed
	}
	work := router.newWork(admitted)
	work.ModelEngine = true
	work.Method = http.MethodPost
	work.Path = "/v1/chat/completions"
	work.Header = http.Header{headerContentType: {contentTypeJSON}}
	work.Body = upstreamBody
	work.PrefixHash = completionRequest.PrefixHash()
	work.ReservedTokens = completionRequest.MaxTotalTokens()
	work.MaxPromptTokens = completionRequest.MaxPromptTokens()
	work.Resume = resumeToken
	return admitted, work, completionRequest, nil
}

// authorizeModel returns the request with the service of the model. It refuses
// requests that are marked non-idempotent, as a model request may run again.
func (router *Router) authorizeModel(admitted admittedRequest, request *http.Request, model string) (admittedRequest, error) {
	service, ok := router.follower.View().ServiceOfModel(model)
	if !ok {
		return admittedRequest{}, fault.New(fault.Config{
			Kind:    fault.NotFound,
			Message: "there is no model " + model,
			Remedy:  "use the model of a published service",
		})
	}
	admitted, err := admitted.withService(service)
	if err != nil {
		return admittedRequest{}, err
	}
	admitted, err = admitted.withIdempotent(request, true)
	if err != nil {
		return admittedRequest{}, err
	}
	if !admitted.idempotent {
		return admittedRequest{}, errModelNotIdempotent
	}
	return admitted, nil
}

func (router *Router) serveService(writer http.ResponseWriter, request *http.Request) {
	admitted, err := router.admit(request.Context(), request)
	if err != nil {
		router.refuse(writer, router.withOutcomeOfKey(request, err))
		return
	}
	admitted, work, err := router.newServiceWork(admitted, request)
	if err != nil {
		router.refuse(writer, router.withOutcomeOfKey(request, err))
		return
	}
	sink := &plainSink{
		sinkBase: router.newSinkBase(writer, admitted), maxBytes: router.handlerConfig.MaxAnswerBytes, headOnly: request.Method == http.MethodHead,
	}
	err = router.run(request.Context(), admitted, work, sink)
	router.recordEnd(admitted, err)
}

func (router *Router) newServiceWork(admitted admittedRequest, request *http.Request) (admittedRequest, dispatch.Work, error) {
	name, path := servicePath(request.URL)
	service, ok := router.follower.View().Service(name)
	if !ok || service.Protocol != configuration.ProtocolPlain {
		return admittedRequest{}, dispatch.Work{}, fault.New(fault.Config{
			Kind:    fault.NotFound,
			Message: "there is no plain service " + name,
			Remedy:  "use the name of a published plain service",
		})
	}
	admitted, err := admitted.withService(service)
	if err != nil {
		return admittedRequest{}, dispatch.Work{}, err
	}
	isSafeMethod := request.Method == http.MethodGet || request.Method == http.MethodHead
	admitted, err = admitted.withIdempotent(request, isSafeMethod)
	if err != nil {
		return admittedRequest{}, dispatch.Work{}, err
	}
	body, err := router.readBody(request)
	if err != nil {
		return admittedRequest{}, dispatch.Work{}, err
	}
	work := router.newWork(admitted)
	work.Method = request.Method
	work.Path = path
	work.Header = forwardableHeader(request.Header)
	if err := checkHeaderValues(work.Header); err != nil {
		return admittedRequest{}, dispatch.Work{}, err
	}
	work.Header.Set(headerIdempotencyKey, admitted.idempotencyKey)
	work.Body = body
	work.ReservedTokens = service.CallTokens
	return admitted, work, nil
}

// servicePath splits a target under servicesPrefix into the service's name and the
// path and query that are sent to the service. The path stays escaped as the caller
// sent it, as a decoded "?" or "#" would end the path. The request parser accepts an
// unescaped "#" in the query, so it is escaped here.
func servicePath(target *url.URL) (name, path string) {
	name, relativePath, _ := strings.Cut(strings.TrimPrefix(target.EscapedPath(), servicesPrefix), "/")
	path = "/" + relativePath
	if target.RawQuery != "" {
		path += "?" + strings.ReplaceAll(target.RawQuery, "#", "%23")
	}
	return name, path
}

func (router *Router) newWork(admitted admittedRequest) dispatch.Work {
	return dispatch.Work{
		RequestID:  admitted.id,
		Profile:    admitted.profile.Name,
		Team:       admitted.caller.Team,
		Weight:     admitted.caller.Weight,
		Priority:   admitted.profile.Priority,
		Service:    admitted.service.Name,
		Idempotent: admitted.idempotent,
		Deadline:   admitted.deadline,
	}
}

// newSinkBase returns the fields that all sinks share. It also limits how long the
// caller may take to read the answer, and sets the answer's Idempotency-Key, which the
// caller needs for a retry if the router generated it.
func (router *Router) newSinkBase(writer http.ResponseWriter, admitted admittedRequest) sinkBase {
	if err := http.NewResponseController(writer).SetWriteDeadline(admitted.deadline); err != nil {
		router.warn("event", "write_deadline_not_set", "request_id", admitted.id, "err", err)
	}
	writer.Header().Set(headerIdempotencyKey, admitted.idempotencyKey)
	return sinkBase{writer: writer, signResumeToken: func(token dispatch.ResumeToken) string {
		return router.signer.Sign(token, admitted.id)
	}}
}

func methodNotAllowed(method string) error {
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: "method " + method + " is not allowed here",
		Remedy:  "use POST",
	})
}

// parseResumeToken reads and verifies the resume token and sets its position to
// the last event that the caller received. It returns an empty token if the
// request has none.
func (router *Router) parseResumeToken(request *http.Request, admitted admittedRequest) (dispatch.ResumeToken, error) {
	text := headerText(request, headerResume)
	if text == "" {
		return dispatch.ResumeToken{}, nil
	}
	token, err := router.signer.Verify(text, admitted.id)
	if err != nil {
		return dispatch.ResumeToken{}, err
	}
	token.Position = 0
	if lastEventID := headerText(request, headerLastEventID); lastEventID != "" {
		position, err := strconv.ParseInt(lastEventID, 10, 64)
		if err != nil || position < 0 {
			return dispatch.ResumeToken{}, fault.New(fault.Config{
				Kind:    fault.Invalid,
				Message: headerLastEventID + " is " + strconv.Quote(lastEventID),
				Remedy:  "send the id of the last event that arrived",
				Cause:   err,
			})
		}
		token.Position = position
	}
	return token, nil
}

// recordEnd counts and logs the end of an admitted request. A nil err means that
// the answer was complete.
func (router *Router) recordEnd(admitted admittedRequest, err error) {
	duration := time.Since(admitted.startedAt)
	router.metrics.countRequest(admitted.service.Name, err)
	router.metrics.observeDuration(admitted.service.Name, err, duration)
	outcome, kind := outcomeAndKind(err)
	logAtLevel, message := router.debug, ""
	if err != nil {
		logAtLevel, message = router.info, fault.MessageOf(err)
	}
	logAtLevel("event", "request_ended", "request_id", admitted.id, "profile", admitted.profile.Name,
		"service", admitted.service.Name, "outcome", outcome, "kind", kind, "duration_ms", duration.Milliseconds(), "err", message)
}

// recordAnswered counts a complete answer by the status that was sent, and logs it if that
// status is unusual.
func (router *Router) recordAnswered(answered Answered) {
	router.metrics.answers.WithLabelValues(answered.SentLabel()).Inc()
	if answered.IsUnusual() {
		router.info("event", "unusual_status", "idempotency_key", answered.Request.Header.Get(headerIdempotencyKey),
			"status", answered.Status, "sent_status", answered.SentStatus)
	}
}

// recordUnanswered counts and logs a request that got no complete answer.
func (router *Router) recordUnanswered(unanswered Unanswered) {
	router.metrics.unanswered.WithLabelValues(string(unanswered.Reason)).Inc()
	key := ""
	if unanswered.Request != nil {
		key = unanswered.Request.Header.Get(headerIdempotencyKey)
	}
	fields := []any{"event", "request_unanswered", "reason", unanswered.Reason, "idempotency_key", key,
		"caller", unanswered.Caller, "err", unanswered.Err}
	router.info(append(fields, unanswered.Connection.LogFields()...)...)
}

// recordEvicted counts and logs a connection that is closed because its client is outside
// the limits.
func (router *Router) recordEvicted(eviction Eviction) {
	router.metrics.clientsEvicted.WithLabelValues(string(eviction.Reason)).Inc()
	router.info(eviction.LogFields()...)
}

// recordEnded counts a connection that ended, and logs it if its last request was not
// read whole.
func (router *Router) recordEnded(end ConnectionEnd) {
	router.metrics.connectionsEnded.WithLabelValues(end.MetricLabels()...).Inc()
	if end.Read != ReadWhole {
		fields := []any{"event", "connection_ended", "caller", end.Caller, "err", end.Err}
		router.debug(append(fields, end.LogFields()...)...)
	}
}
