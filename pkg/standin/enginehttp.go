package standin

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"gitlab.com/wisterialb/wisterialb/pkg/fault"
)

// The headers that upstreams heed.
const (
	AttemptHeader        = "Wisterialb-Attempt"
	PriorityHeader       = "Wisterialb-Priority"
	IdempotencyKeyHeader = "Idempotency-Key"
)

const (
	streamContentType = "text/event-stream"
	attemptPathValue  = "attempt"
)

// engineHandler serves the protocol of an engine.
type engineHandler struct {
	engine *Engine
}

func newEngineHandler(engine *Engine) http.Handler {
	handler := &engineHandler{engine: engine}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", handler.complete)
	mux.HandleFunc("GET /v1/attempts/{attempt}", handler.attempt)
	mux.HandleFunc("POST /v1/attempts/{attempt}/cancel", handler.cancel)
	mux.HandleFunc("GET /v1/attempts/{attempt}/events", handler.events)
	mux.HandleFunc("GET /v1/load", answerWith(engine.Load))
	mux.HandleFunc("GET /v1/cache/events", handler.cacheEvents)
	mux.HandleFunc("POST /v1/orders", handler.order)
	mux.HandleFunc("GET /v1/state", answerWith(engine.State))
	mux.HandleFunc("GET /healthz", healthy)
	return handler.withHold(mux, handler.admin())
}

// admin serves the switches and records.
func (engineHandler *engineHandler) admin() http.Handler {
	engine := engineHandler.engine
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/faults", answerWith(engine.Faults))
	mux.HandleFunc("POST /admin/faults", accept(engine.SetFaults))
	mux.HandleFunc("POST /admin/silence", trigger(engine.Silence))
	mux.HandleFunc("POST /admin/die", trigger(func() { go func() { _ = engine.Close() }() }))
	mux.HandleFunc("GET /admin/runs", answerWith(engine.runList))
	mux.HandleFunc("GET /admin/orders", answerWith(engine.Orders))
	mux.HandleFunc("GET /admin/cache", answerWith(engine.CacheCounts))
	return mux
}

// RunList is the answer of /admin/runs of an engine.
type RunList struct {
	Runs []Run `json:"runs"`
}

func (engine *Engine) runList() RunList { return RunList{Runs: engine.Runs()} }

// withHold answers admin requests always, and others unless the engine holds.
func (engineHandler *engineHandler) withHold(next, admin http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, "/admin/") {
			admin.ServeHTTP(writer, request)
			return
		}
		if engineHandler.engine.Faults().Hold {
			<-request.Context().Done()
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// complete runs a completion.
func (engineHandler *engineHandler) complete(writer http.ResponseWriter, request *http.Request) {
	attempt, stream, err := engineHandler.submit(writer, request)
	if err != nil {
		writeFault(writer, err)
		return
	}
	if stream {
		engineHandler.stream(writer, request, attempt, 0)
		return
	}
	engineHandler.whole(writer, request, attempt)
}

// submit queues the attempt of a request; it reports whether to stream.
func (engineHandler *engineHandler) submit(writer http.ResponseWriter, request *http.Request) (*attempt, bool, error) {
	if engineHandler.engine.Faults().Refuse {
		return nil, false, fault.New(fault.Config{
			Kind:    fault.Unavailable,
			Message: "engine refuses requests",
			Remedy:  "retry elsewhere",
		})
	}
	var body CompletionRequest
	if err := readJSON(writer, request, &body); err != nil {
		return nil, false, err
	}
	id := request.Header.Get(AttemptHeader)
	if id == "" || len(body.Messages) == 0 {
		return nil, false, fault.New(fault.Config{
			Kind:    fault.Invalid,
			Message: "request has no attempt id or no messages",
			Remedy:  "send " + AttemptHeader + " and messages",
		})
	}
	priority, err := number(request.Header.Get(PriorityHeader))
	if err != nil {
		return nil, false, err
	}
	attempt := newAttempt(id, request.Header.Get(IdempotencyKeyHeader), priority, body)
	return attempt, body.Stream, engineHandler.engine.submit(attempt)
}

// number reads a decimal number; empty is zero.
func number(text string) (int, error) {
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

// stream writes the attempt's events behind the position.
func (engineHandler *engineHandler) stream(writer http.ResponseWriter, request *http.Request, attempt *attempt, position int) {
	fault := engineHandler.engine.faults.draw()
	if fault == StreamWrongAttempt {
		attempt = engineHandler.engine.other(attempt)
	}
	writer.Header().Set(contentType, streamContentType)
	writer.Header().Set(AttemptHeader, attempt.id)
	writer.WriteHeader(http.StatusOK)
	err := engineHandler.engine.follow(&stream{
		ctx:     request.Context(),
		writer:  writer,
		flusher: http.NewResponseController(writer),
		fault:   fault,
		trigger: position + (attempt.length-position)/2 + 1,
	}, attempt, position)
	var ended streamFaultError
	if errors.As(err, &ended) && ended.abort {
		panic(http.ErrAbortHandler)
	}
}

// whole answers with the whole completion when the attempt has ended.
func (engineHandler *engineHandler) whole(writer http.ResponseWriter, request *http.Request, attempt *attempt) {
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

func (engineHandler *engineHandler) attempt(writer http.ResponseWriter, request *http.Request) {
	engineHandler.withAttempt(writer, request, func(attempt *attempt) {
		writeJSON(writer, http.StatusOK, engineHandler.engine.recordOf(attempt))
	})
}

func (engineHandler *engineHandler) cancel(writer http.ResponseWriter, request *http.Request) {
	engineHandler.withAttempt(writer, request, func(attempt *attempt) {
		writeJSON(writer, http.StatusOK, engineHandler.engine.cancel(attempt))
	})
}

// events resumes a stream.
func (engineHandler *engineHandler) events(writer http.ResponseWriter, request *http.Request) {
	engineHandler.withAttempt(writer, request, func(attempt *attempt) {
		after, err := number(request.URL.Query().Get("after"))
		if err != nil || after < 0 {
			writeFault(writer, fault.New(fault.Config{Kind: fault.Invalid, Message: "bad position", Remedy: "send after >= 0"}))
			return
		}
		engineHandler.stream(writer, request, attempt, after)
	})
}

func (engineHandler *engineHandler) withAttempt(writer http.ResponseWriter, request *http.Request, serve func(*attempt)) {
	id := request.PathValue(attemptPathValue)
	attempt := engineHandler.engine.find(id)
	if attempt == nil {
		writeFault(writer, fault.New(fault.Config{
			Kind:    fault.NotFound,
			Message: "no attempt " + id,
			Remedy:  "check the upstream and the attempt",
		}))
		return
	}
	serve(attempt)
}

func (engineHandler *engineHandler) cacheEvents(writer http.ResponseWriter, request *http.Request) {
	after, err := number(request.URL.Query().Get("after"))
	if err != nil {
		writeFault(writer, err)
		return
	}
	writeJSON(writer, http.StatusOK, engineHandler.engine.CacheEvents(uint64(max(after, 0))))
}

func (engineHandler *engineHandler) order(writer http.ResponseWriter, request *http.Request) {
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

// completion returns the whole answer of an ended attempt.
func (engine *Engine) completion(attempt *attempt) Completion {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return wholeCompletion(attempt, attempt.text(), attempt.finishReason())
}

// other returns the latest attempt that is not the given one, if there is any.
func (engine *Engine) other(attempt *attempt) *attempt {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	for i := len(engine.order) - 1; i >= 0; i-- {
		if found := engine.order[i]; found != attempt && !found.forgotten {
			return found
		}
	}
	return attempt
}
