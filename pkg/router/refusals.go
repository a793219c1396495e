package router

import "gitlab.com/wisterialb/wisterialb/pkg/fault"

// errCallerDisconnected is the context's cause for a request whose caller closed
// the connection.
var errCallerDisconnected = fault.New(fault.Config{
	Kind:    fault.DeadlineExceeded,
	Message: "the caller closed the connection",
	Remedy:  "retry with the same Idempotency-Key",
	Outcome: fault.OutcomeUnknown,
})

// anotherRouterRemedy is the remedy of requests that this router has no room for.
const anotherRouterRemedy = "send the request to another router"

// errTooManyRequests refuses a request while as many as are allowed are running.
var errTooManyRequests = fault.New(fault.Config{
	Kind:       fault.Unavailable,
	Message:    "this router runs as many requests as it may",
	Remedy:     anotherRouterRemedy,
	RetryAfter: overloadRetryAfter,
})

// errTooManyConnections refuses a request while there are more connections than are
// allowed.
var errTooManyConnections = fault.New(fault.Config{
	Kind:       fault.Unavailable,
	Message:    "this router has as many connections as it may",
	Remedy:     anotherRouterRemedy,
	RetryAfter: overloadRetryAfter,
})

// errDrainTimeout is the context's cause for a request that a shutdown cancelled.
var errDrainTimeout = fault.New(fault.Config{
	Kind:    fault.Draining,
	Message: "the router's drain timeout has passed",
	Remedy:  "retry at another address with the same Idempotency-Key",
	Outcome: fault.OutcomeUnknown,
})
