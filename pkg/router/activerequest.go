package router

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
)

// activeRequest is a running request and its connection.
type activeRequest struct {
	connection *callerConnection
	// request is a copy: nbhttp uses its own again once it has written the answer.
	request *http.Request
	cancel  context.CancelCauseFunc
	// report receives the request if its answer is incomplete.
	report   func(Unanswered)
	reported atomic.Bool
}

// reportUnanswered reports that the request got no complete answer. Only the first
// call reports it. If its connection is closed, the report waits until it is known what
// closed it.
func (activeRequest *activeRequest) reportUnanswered(reason UnansweredReason) {
	request := activeRequest.request
	if !activeRequest.reported.CompareAndSwap(false, true) {
		return
	}
	connection := activeRequest.connection
	connection.unanswered.Add(1)
	unanswered := Unanswered{Reason: reason, Caller: request.RemoteAddr, Request: request}
	if reason == UnansweredCallerLeft && connection.deferReport(unanswered) {
		return
	}
	unanswered.Connection = connection.end(EndedByServer, nil)
	activeRequest.report(unanswered)
}

// closeAfterPanic closes the connection if the handler panicked, as no answer will
// follow. It panics again, so that nbio logs the panic with its stack, unless the
// handler aborted the answer on purpose with http.ErrAbortHandler.
func (activeRequest *activeRequest) closeAfterPanic(ctx context.Context) {
	cause := recover()
	if cause == nil {
		if errors.Is(context.Cause(ctx), errCallerDisconnected) {
			activeRequest.reportUnanswered(UnansweredCallerLeft)
		}
		return
	}
	activeRequest.reportUnanswered(reasonAfterPanic(ctx, cause))
	_ = activeRequest.connection.Close() // an error means that it is closed already
	if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
}
