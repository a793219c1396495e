package standin

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// The request headers that engines and services read.
const (
	AttemptHeader        = "Wisterialb-Attempt"
	PriorityHeader       = "Wisterialb-Priority"
	IdempotencyKeyHeader = "Idempotency-Key"
)

// The response headers in which engines and services say that they are leaving, or
// how long they want no requests.
const (
	leavingHeader    = "Wisterialb-Leaving"
	retryAfterHeader = "Retry-After"
)

func setLeaving(writer http.ResponseWriter, leaving bool) {
	if leaving {
		writer.Header().Set(leavingHeader, "1")
	}
}

func setRetryAfter(writer http.ResponseWriter, retryAfter string) {
	if retryAfter != "" {
		writer.Header().Set(retryAfterHeader, retryAfter)
	}
}

const (
	streamContentType = "text/event-stream"
	attemptPathValue  = "attempt"
)

// engineHandler serves the HTTP protocol of an engine.
type engineHandler struct {
	engine *Engine
	// usedConnections has the remote addresses of connections that have carried a
	// completion request.
	usedConnections sync.Map
}

// repeatsRefusal reports whether RepeatRefusals applies to the request. It does only on
// a connection that was used before.
func (engineHandler *engineHandler) repeatsRefusal(request *http.Request) bool {
	_, used := engineHandler.usedConnections.LoadOrStore(request.RemoteAddr, true)
	return used && engineHandler.engine.faultInjector.takeRepeatedRefusal()
}

func newEngineHandler(engine *Engine) http.Handler {
	handler := &engineHandler{engine: engine}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", handler.serveCompletion)
	mux.HandleFunc("GET /v1/attempts/{attempt}", handler.serveAttempt)
	mux.HandleFunc("POST /v1/attempts/{attempt}/cancel", handler.serveCancel)
	mux.HandleFunc("GET /v1/attempts/{attempt}/events", handler.serveEvents)
	mux.HandleFunc("GET /v1/load", serveJSON(engine.Load))
	mux.HandleFunc("GET /v1/cache/events", handler.serveCacheEvents)
	mux.HandleFunc("POST /v1/orders", handler.serveOrder)
	mux.HandleFunc("GET /v1/state", serveJSON(engine.State))
	mux.HandleFunc("GET /healthz", serveHealth)
	return handler.withHoldFault(mux, handler.newAdminHandler())
}

// newAdminHandler returns the handler for the fault settings, the actions and the
// records for checks.
func (engineHandler *engineHandler) newAdminHandler() http.Handler {
	engine := engineHandler.engine
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/faults", serveJSON(engine.Faults))
	mux.HandleFunc("POST /admin/faults", acceptJSON(engine.SetFaults))
	mux.HandleFunc("POST /admin/silence", runAction(engine.BlackholeConnections))
	mux.HandleFunc("POST /admin/die", runAction(func() { go func() { _ = engine.Close() }() }))
	mux.HandleFunc("GET /admin/runs", serveJSON(engine.runList))
	mux.HandleFunc("GET /admin/orders", serveJSON(engine.Orders))
	mux.HandleFunc("GET /admin/cache", serveJSON(engine.CacheCounts))
	return mux
}

// RunList is the response of an engine's /admin/runs.
type RunList struct {
	Runs []RunRecord `json:"runs"`
}

func (engine *Engine) runList() RunList { return RunList{Runs: engine.Runs()} }

// withHoldFault routes requests below /admin/ to admin. While EngineFaults.Hold is
// set, other requests get no response; otherwise they go to next.
func (engineHandler *engineHandler) withHoldFault(next, admin http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, "/admin/") {
			admin.ServeHTTP(writer, request)
			return
		}
		faults := engineHandler.engine.Faults()
		if faults.Hold {
			<-request.Context().Done()
			return
		}
		setLeaving(writer, faults.Leaving)
		next.ServeHTTP(writer, request)
	})
}

// serveCompletion runs a completion and sends its answer, either as a stream or as
// one response, as the request asks.
func (engineHandler *engineHandler) serveCompletion(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(AttemptHeader, request.Header.Get(AttemptHeader))
	attempt, stream, err := engineHandler.submit(writer, request)
	if err != nil {
		writeFault(writer, err)
		return
	}
	if engineHandler.repeatsRefusal(request) {
		writer.Header().Del(AttemptHeader)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if text := engineHandler.engine.Faults().CrashText; text != "" && strings.Contains(attempt.prompt, text) {
		engineHandler.crash(writer, attempt)
		return
	}
	if stream {
		engineHandler.sendStream(writer, request, attempt, 0)
		return
	}
	engineHandler.sendFullAnswer(writer, request, attempt)
}

// crash sends the head of the answer, then closes the listener and all connections.
func (engineHandler *engineHandler) crash(writer http.ResponseWriter, attempt *attempt) {
	writer.Header().Set(contentType, streamContentType)
	writer.Header().Set(AttemptHeader, attempt.id)
	if err := http.NewResponseController(writer).Flush(); err != nil {
		return // the caller has disconnected
	}
	_ = engineHandler.engine.endpoint.server.Close() // the engine is gone in any case
}

// submit queues an attempt for the request. It returns the attempt and whether the
// answer is to be streamed.
func (engineHandler *engineHandler) submit(writer http.ResponseWriter, request *http.Request) (*attempt, bool, error) {
	if faults := engineHandler.engine.Faults(); faults.Refuse {
		setRetryAfter(writer, faults.RetryAfter)
		return nil, false, fault.New(fault.Config{
			Kind:    fault.Unavailable,
			Message: "engine refuses requests",
			Remedy:  "retry at another upstream",
		})
	}
	var body CompletionRequest
	if err := readJSON(writer, request, &body); err != nil {
		return nil, false, err
	}
	attemptID := request.Header.Get(AttemptHeader)
	if attemptID == "" || len(body.Messages) == 0 {
		return nil, false, fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "request has no attempt id or no messages",
			Remedy:  "send " + AttemptHeader + " and messages",
		})
	}
	priority, err := parseNumber(request.Header.Get(PriorityHeader))
	if err != nil {
		return nil, false, err
	}
	attempt := newAttempt(attemptID, request.Header.Get(IdempotencyKeyHeader), priority, body)
	return attempt, body.Stream, engineHandler.engine.submit(attempt)
}

// parseNumber parses a decimal integer. An empty text is zero.
func parseNumber(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	value, err := strconv.Atoi(text)
	if err == nil {
		return value, nil
	}
	return 0, fault.New(fault.Config{
		Kind:    fault.Invalid,
		Message: "not a number: " + text,
		Remedy:  "send a decimal number",
		Cause:   err,
	})
}

// sendStream streams the attempt's events after the position. A stream fault that
// is due begins in the middle of the remaining events.
func (engineHandler *engineHandler) sendStream(writer http.ResponseWriter, request *http.Request, attempt *attempt, after int) {
	streamFault := engineHandler.engine.faultInjector.nextStreamFault()
	if streamFault == StreamWrongAttempt {
		attempt = engineHandler.engine.latestOtherAttempt(attempt)
	}
	writer.Header().Set(contentType, streamContentType)
	writer.Header().Set(AttemptHeader, attempt.id)
	writer.WriteHeader(http.StatusOK)
	err := engineHandler.engine.sendEvents(&stream{
		ctx:           request.Context(),
		writer:        writer,
		flusher:       http.NewResponseController(writer),
		fault:         streamFault,
		faultPosition: after + (attempt.answerTokens-after)/2 + 1,
	}, attempt, after)
	var streamFaultErr streamFaultError
	if errors.As(err, &streamFaultErr) && streamFaultErr.abort {
		panic(http.ErrAbortHandler)
	}
}

// sendFullAnswer waits until the attempt has ended and sends the complete answer.
func (engineHandler *engineHandler) sendFullAnswer(writer http.ResponseWriter, request *http.Request, attempt *attempt) {
	for {
		_, ended, changed, err := engineHandler.engine.eventsAfter(attempt, 0)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if ended {
			break
		}
		select {
		case <-request.Context().Done():
			return
		case <-changed:
		}
	}
	writer.Header().Set(AttemptHeader, attempt.id)
	writeJSON(writer, http.StatusOK, engineHandler.engine.completion(attempt))
}

func (engineHandler *engineHandler) serveAttempt(writer http.ResponseWriter, request *http.Request) {
	engineHandler.withAttempt(writer, request, func(attempt *attempt) {
		writeJSON(writer, http.StatusOK, engineHandler.engine.recordOf(attempt))
	})
}

func (engineHandler *engineHandler) serveCancel(writer http.ResponseWriter, request *http.Request) {
	engineHandler.withAttempt(writer, request, func(attempt *attempt) {
		writeJSON(writer, http.StatusOK, engineHandler.engine.cancel(attempt))
	})
}

// serveEvents streams the events of an existing attempt after a position.
func (engineHandler *engineHandler) serveEvents(writer http.ResponseWriter, request *http.Request) {
	engineHandler.withAttempt(writer, request, func(attempt *attempt) {
		after, err := parseNumber(request.URL.Query().Get("after"))
		if err != nil || after < 0 {
			writeFault(writer, fault.New(fault.Config{Kind: fault.Invalid, Message: "bad position", Remedy: "send after >= 0"}))
			return
		}
		engineHandler.sendStream(writer, request, attempt, after)
	})
}

func (engineHandler *engineHandler) withAttempt(writer http.ResponseWriter, request *http.Request, serve func(*attempt)) {
	attemptID := request.PathValue(attemptPathValue)
	writer.Header().Set(AttemptHeader, attemptID)
	attempt := engineHandler.engine.find(attemptID)
	if attempt == nil {
		writeFault(writer, fault.New(fault.Config{
			Kind:    fault.NotFound,
			Message: "no attempt " + attemptID,
			Remedy:  "check the upstream and the attempt",
		}))
		return
	}
	serve(attempt)
}

func (engineHandler *engineHandler) serveCacheEvents(writer http.ResponseWriter, request *http.Request) {
	after, err := parseNumber(request.URL.Query().Get("after"))
	if err != nil {
		writeFault(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, engineHandler.engine.CacheEvents(uint64(max(after, 0))))
}

func (engineHandler *engineHandler) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order Order
	if err := readJSON(writer, request, &order); err != nil {
		writeFault(writer, err)
		return
	}
	state, err := engineHandler.engine.Order(order)
	if err != nil {
		writeFault(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, state)
}

// completion returns the complete answer of an ended attempt.
func (engine *Engine) completion(attempt *attempt) Completion {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return fullCompletion(attempt, attempt.text(), attempt.finishReason())
}

// latestOtherAttempt returns the most recent other attempt whose events are still
// stored, or the given attempt if there is none.
func (engine *Engine) latestOtherAttempt(attempt *attempt) *attempt {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	for i := len(engine.arrivals) - 1; i >= 0; i-- {
		if candidate := engine.arrivals[i]; candidate != attempt && !candidate.eventsDropped {
			return candidate
		}
	}
	return attempt
}
