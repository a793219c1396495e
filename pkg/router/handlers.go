package router

// The paths of the callers' API.

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

// refuse answers a request that did not get into the pipeline.
func (router *Router) refuse(writer http.ResponseWriter, err error) {
	router.metrics.request("", err)
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
		zone = router.config.Zone
	}
	respondJSON(writer, http.StatusOK, router.ranker.Rank(profile, zone))
}

func (router *Router) alternatives() []string {
	addresses := make([]string, 0)
	for _, address := range router.ranker.Rank("", router.config.Zone).Addresses {
		if address != router.config.CallerAddress {
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
	current, err := router.admit(request.Context(), request)
	if err != nil {
		router.refuse(writer, err)
		return
	}
	current, work, parsed, err := router.completionWork(current, request)
	if err != nil {
		router.refuse(writer, err)
		return
	}
	base := router.sinkBase(writer, current)
	var sink answerSink = &collectSink{sinkBase: base}
	if parsed.Stream {
		sink = &streamSink{sinkBase: base, includeUsage: parsed.IncludeUsage}
	}
	sink = &engineSink{stream: sink, failure: &plainSink{sinkBase: base, maxBytes: router.config.MaxAnswerBytes}}
	err = router.run(request.Context(), current, work, sink)
	router.finished(current, err)
}

func (router *Router) completionWork(current ticket, request *http.Request) (ticket, dispatch.Work, completion.Request, error) {
	body, err := router.readBody(request)
	if err != nil {
		return ticket{}, dispatch.Work{}, completion.Request{}, err
	}
	parsed, err := completion.Parse(body, completion.ParseConfig{
		DefaultMaxTokens:  router.config.DefaultMaxTokens,
		GreatestMaxTokens: router.config.GreatestMaxTokens,
	})
	if err != nil {
		return ticket{}, dispatch.Work{}, completion.Request{}, err
	}
	current, err = router.modelService(current, request, parsed.Model)
	if err != nil {
		return ticket{}, dispatch.Work{}, completion.Request{}, err
	}
	forward, err := parsed.Forward()
	if err != nil {
		return ticket{}, dispatch.Work{}, completion.Request{}, err
	}
	resume, err := router.resumeOf(request, current)
	if err != nil {
		return ticket{}, dispatch.Work{}, completion.Request{}, err
	}
	if resume.Position > 0 && !parsed.Stream {
		return ticket{}, dispatch.Work{}, completion.Request{}, errCollectedPart
	}
	work := router.workOf(current)
	work.Model = true
	work.Method = http.MethodPost
	work.Path = "/v1/chat/completions"
	work.Header = http.Header{headerContentType: {contentTypeJSON}}
	work.Body = forward
	work.PrefixHash = parsed.PrefixHash()
	work.MaxTokens = parsed.Bound()
	work.PromptTokens = parsed.PromptBound()
	work.Resume = resume
	return current, work, parsed, nil
}

func (router *Router) modelService(current ticket, request *http.Request, model string) (ticket, error) {
	service, ok := router.follower.View().ServiceOfModel(model)
	if !ok {
		return ticket{}, fault.New(fault.Config{
			Kind:    fault.NotFound,
			Message: "there is no model " + model,
			Remedy:  "use the model of a published service",
		})
	}
	current, err := current.allowService(service)
	if err != nil {
		return ticket{}, err
	}
	current, err = current.WithIdempotent(request, true)
	if err != nil {
		return ticket{}, err
	}
	if !current.idempotent {
		return ticket{}, errNotReplayable
	}
	return current, nil
}

func (router *Router) serveService(writer http.ResponseWriter, request *http.Request) {
	current, err := router.admit(request.Context(), request)
	if err != nil {
		router.refuse(writer, err)
		return
	}
	current, work, err := router.serviceWork(current, request)
	if err != nil {
		router.refuse(writer, err)
		return
	}
	sink := &plainSink{sinkBase: router.sinkBase(writer, current), maxBytes: router.config.MaxAnswerBytes}
	err = router.run(request.Context(), current, work, sink)
	router.finished(current, err)
}

func (router *Router) serviceWork(current ticket, request *http.Request) (ticket, dispatch.Work, error) {
	name, path := servicePath(request.URL)
	service, ok := router.follower.View().Service(name)
	if !ok || service.Protocol != configuration.ProtocolPlain {
		return ticket{}, dispatch.Work{}, fault.New(fault.Config{
			Kind:    fault.NotFound,
			Message: "there is no plain service " + name,
			Remedy:  "use the name of a published plain service",
		})
	}
	current, err := current.allowService(service)
	if err != nil {
		return ticket{}, dispatch.Work{}, err
	}
	safe := request.Method == http.MethodGet || request.Method == http.MethodHead
	current, err = current.WithIdempotent(request, safe)
	if err != nil {
		return ticket{}, dispatch.Work{}, err
	}
	body, err := router.readBody(request)
	if err != nil {
		return ticket{}, dispatch.Work{}, err
	}
	work := router.workOf(current)
	work.Method = request.Method
	work.Path = path
	work.Header = forwardable(request.Header)
	if err := checkHeader(work.Header); err != nil {
		return ticket{}, dispatch.Work{}, err
	}
	work.Header.Set(headerIdempotencyKey, current.key)
	work.Body = body
	work.MaxTokens = service.CallTokens
	return current, work, nil
}

// servicePath returns the service's name and the path and query that it gets,
// escaped as the caller sent them: a decoded path would end at its first "?" or
// "#". The parser of request lines leaves a "#" in the query.
func servicePath(target *url.URL) (name, path string) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(target.EscapedPath(), servicesPrefix), "/")
	path = "/" + rest
	if target.RawQuery != "" {
		path += "?" + strings.ReplaceAll(target.RawQuery, "#", "%23")
	}
	return name, path
}

func (router *Router) workOf(current ticket) dispatch.Work {
	return dispatch.Work{
		RequestID:  current.id,
		Profile:    current.profile.Name,
		Team:       current.caller.Team,
		Weight:     current.caller.Weight,
		Priority:   current.profile.Priority,
		Service:    current.service.Name,
		Idempotent: current.idempotent,
		Deadline:   current.deadline,
	}
}

// sinkBase tells the caller the key under which it can retry, which may be one
// that the router made, and returns what the sinks share.
func (router *Router) sinkBase(writer http.ResponseWriter, current ticket) sinkBase {
	writer.Header().Set(headerIdempotencyKey, current.key)
	return sinkBase{writer: writer, resume: func(token dispatch.ResumeToken) string {
		return router.signer.Sign(token, current.id)
	}}
}

func methodNotAllowed(method string) error {
	return fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: "method " + method + " is not allowed here",
		Remedy:  "use POST",
	})
}

// resumeOf reads the resume token and the position that the caller has.
func (router *Router) resumeOf(request *http.Request, current ticket) (dispatch.ResumeToken, error) {
	text := headerText(request, headerResume)
	if text == "" {
		return dispatch.ResumeToken{}, nil
	}
	token, err := router.signer.Open(text, current.id)
	if err != nil {
		return dispatch.ResumeToken{}, err
	}
	token.Position = 0
	if last := headerText(request, headerLastEventID); last != "" {
		position, err := strconv.ParseInt(last, 10, 64)
		if err != nil || position < 0 {
			return dispatch.ResumeToken{}, fault.New(fault.Config{
				Kind:    fault.Invalid,
				Message: headerLastEventID + " is " + strconv.Quote(last),
				Remedy:  "send the id of the last event that arrived",
				Cause:   err,
			})
		}
		token.Position = position
	}
	return token, nil
}

// finished counts and logs the end of an admitted request.
func (router *Router) finished(current ticket, err error) {
	duration := time.Since(current.started)
	router.metrics.request(current.service.Name, err)
	router.metrics.duration(current.service.Name, err, duration)
	outcome, kind := outcomeAndKind(err)
	log, message := router.debug, ""
	if err != nil {
		log, message = router.info, fault.MessageOf(err)
	}
	log("event", "request_ended", "request_id", current.id, "profile", current.profile.Name,
		"service", current.service.Name, "outcome", outcome, "kind", kind, "duration_ms", duration.Milliseconds(), "err", message)
}
